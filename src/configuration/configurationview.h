// The version that is in force on this node. It only moves forward.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "absl/status/status.h"
#include "configuration/types/versionedbody.h"
#include "policy/types/cellpolicy.h"

namespace oriolevane::configuration {

// Safe for any number of threads. Listeners run on the thread that adopts, in
// order of versions.
class ConfigurationView
{
public:
  using Listener =
    std::function<void(const std::shared_ptr<const policy::CellPolicy>&)>;

  // Set before the first Adopt.
  void AddListener(Listener aListener);

  // Puts a version in force when it is newer than the one held; an older or
  // equal one changes nothing and is OK. InvalidArgument when the body is not a
  // valid policy: the version held stays in force.
  absl::Status Adopt(const VersionedBody& aVersion);

  // Null before the first version.
  std::shared_ptr<const policy::CellPolicy> Policy() const;
  VersionedBody Current() const;
  bool HasVersion() const;

private:
  mutable std::mutex mMutex;
  std::mutex mAdoptMutex;
  bool mHasVersion = false;
  VersionedBody mCurrent;
  std::shared_ptr<const policy::CellPolicy> mPolicy;
  std::vector<Listener> mListeners;
};

} // namespace oriolevane::configuration
