#include "node/noderuntime.h"

#include "node/internal/runtime.h"

namespace oriolevane::node {

class NodeRuntime::Impl
{
public:
  explicit Impl(const settings::NodeSettings& aSettings,
                store::HttpPlatform aPlatform)
    : mRuntime(aSettings, std::move(aPlatform))
  {
  }

  Runtime mRuntime;
};

NodeRuntime::NodeRuntime(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

NodeRuntime::~NodeRuntime() = default;

absl::StatusOr<std::unique_ptr<NodeRuntime>>
NodeRuntime::Start(const settings::NodeSettings& aSettings)
{
  absl::StatusOr<store::HttpPlatform> platform = store::ConnectHttpPlatform(
    { .mAddress = aSettings.mPlatform.mAddress,
      .mRequestTimeout = aSettings.mPlatform.mTimeout });
  if (!platform.ok()) {
    return platform.status();
  }
  auto impl = std::make_unique<Impl>(aSettings, *std::move(platform));
  const absl::Status started = impl->mRuntime.Start();
  if (!started.ok()) {
    return started;
  }
  return std::unique_ptr<NodeRuntime>(new NodeRuntime(std::move(impl)));
}

NodeAddresses
NodeRuntime::Addresses() const
{
  return mImpl->mRuntime.Addresses();
}

bool
NodeRuntime::IsSuperseded() const
{
  return mImpl->mRuntime.IsSuperseded();
}

bool
NodeRuntime::Stop(std::chrono::milliseconds aGrace)
{
  return mImpl->mRuntime.Stop(aGrace);
}

} // namespace oriolevane::node
