#include "node/internal/configurationsync.h"

#include <string>
#include <utility>

#include "framework/log.h"

namespace oriolevane::node {

ConfigurationSync::ConfigurationSync(
  const configuration::ConfigurationStore& aStore,
  configuration::ConfigurationView& aView,
  ConfigurationSyncHooks aHooks)
  : mStore(aStore)
  , mView(aView)
  , mHooks(std::move(aHooks))
{
}

void
ConfigurationSync::Adopt(const configuration::VersionedBody& aVersion,
                         const char* aSource)
{
  const bool isNewer =
    !mView.HasVersion() || aVersion.mVersion > mView.Current().mVersion;
  const absl::Status adopted = mView.Adopt(aVersion);
  if (!adopted.ok()) {
    LogError("configuration_rejected")
      .With("version", aVersion.mVersion)
      .With("error", std::string(adopted.message()));
  } else if (isNewer) {
    LogInfo("configuration_in_force")
      .With("version", aVersion.mVersion)
      .With("source", aSource);
  }
}

void
ConfigurationSync::Poll()
{
  const absl::StatusOr<configuration::VersionedBody> head = mStore.ReadHead();
  if (head.ok()) {
    Adopt(*head, "table");
  }
}

void
ConfigurationSync::OnHeartbeat(const codec::Heartbeat& aHeartbeat)
{
  const bool isNewer =
    !mView.HasVersion() || aHeartbeat.mConfiguration > mView.Current().mVersion;
  if (isNewer && aHeartbeat.mConfiguration.mValue > 0) {
    mHooks.mSendPull(aHeartbeat.mNode, { aHeartbeat.mConfiguration });
  }
}

void
ConfigurationSync::OnPull(const NodeId& aFrom,
                          const codec::ConfigurationPull& aPull)
{
  const configuration::VersionedBody current = mView.Current();
  if (mView.HasVersion() && current.mVersion >= aPull.mVersion) {
    mHooks.mSendBody(aFrom, { current.mVersion, current.mBody });
  }
}

void
ConfigurationSync::OnBody(const codec::ConfigurationBody& aBody)
{
  Adopt({ aBody.mVersion, aBody.mBytes }, "peer");
}

} // namespace oriolevane::node
