#include "configuration/configurationview.h"

#include <utility>

#include "configuration/cellpolicyreader.h"

namespace oriolevane::configuration {

void
ConfigurationView::AddListener(Listener aListener)
{
  mListeners.push_back(std::move(aListener));
}

absl::Status
ConfigurationView::Adopt(const VersionedBody& aVersion)
{
  const std::lock_guard adopting(mAdoptMutex);
  if (HasVersion() && aVersion.mVersion <= Current().mVersion) {
    return absl::OkStatus();
  }
  absl::StatusOr<policy::CellPolicy> parsed =
    ParseCellPolicy(aVersion.mBody, aVersion.mVersion);
  if (!parsed.ok()) {
    return parsed.status();
  }
  const auto policy =
    std::make_shared<const policy::CellPolicy>(*std::move(parsed));
  {
    const std::lock_guard lock(mMutex);
    mHasVersion = true;
    mCurrent = aVersion;
    mPolicy = policy;
  }
  for (const Listener& listener : mListeners) {
    listener(policy);
  }
  return absl::OkStatus();
}

std::shared_ptr<const policy::CellPolicy>
ConfigurationView::Policy() const
{
  const std::lock_guard lock(mMutex);
  return mPolicy;
}

VersionedBody
ConfigurationView::Current() const
{
  const std::lock_guard lock(mMutex);
  return mCurrent;
}

bool
ConfigurationView::HasVersion() const
{
  const std::lock_guard lock(mMutex);
  return mHasVersion;
}

} // namespace oriolevane::configuration
