#include "cellnode/internal/noderegistry.h"

#include "framework/log.h"
#include "framework/steadynow.h"

namespace oriolevane::cellnode {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds kRegistrationTimeout = 900ms;
constexpr std::chrono::milliseconds kRegistrationRetryDelay = 500ms;
constexpr std::chrono::milliseconds kConnectInterval = 600ms;
constexpr std::chrono::milliseconds kWatchWait = 5000ms;
const std::string kNodeTable = "nodes";

} // namespace

NodeRegistry::NodeRegistry(eventloop::EventLoop& aLoop,
                           const NodeOptions& aOptions,
                           const RowStoreHooks& aStore)
  : mLoop(aLoop)
  , mOptions(aOptions)
  , mStore(aStore)
{
}

NodeRegistry::~NodeRegistry()
{
  *mAlive = false;
}

void
NodeRegistry::Register(TimePoint aNow)
{
  if (mRegistered || mRegistering || aNow < mNextRegistration) {
    return;
  }
  mRegistering = true;
  mStore.mCommit(
    { .mConditions = {},
      .mWrites = { { .mKey = { .mTable = kNodeTable,
                               .mPart = "",
                               .mName = mOptions.mNode.mValue },
                     .mValue = mOptions.mPeerAddress } },
      .mRemovals = {} },
    kRegistrationTimeout,
    [this, alive = mAlive](const absl::StatusOr<CommitAnswer>& aAnswer) {
      if (!*alive) {
        return;
      }
      mRegistering = false;
      mRegistered = aAnswer.ok() && aAnswer->mApplied;
      mNextRegistration = SteadyNow() + kRegistrationRetryDelay;
      if (!mRegistered) {
        LogWarning("address_registration_failed")
          .With("status", aAnswer.status().ToString());
      }
    });
}

void
NodeRegistry::Watch()
{
  mWatch = std::make_unique<TableWatch>(
    mLoop,
    mStore,
    TableWatchOptions{ .mTable = kNodeTable, .mPart = "", .mWait = kWatchWait },
    TableWatchHooks{
      .mOnRow =
        [this](const Row& aRow) {
          mAddresses[NodeId(aRow.mKey.mName)] = aRow.mValue;
        },
      .mOnRemoved =
        [this](const std::string& aName) { mAddresses.erase(NodeId(aName)); },
      .mOnSynchronized = {} });
  mWatch->Start();
}

void
NodeRegistry::Forget()
{
  mWatch.reset();
  mAddresses.clear();
}

void
NodeRegistry::ConnectMissing(
  TimePoint aNow,
  const std::function<bool(const NodeId&)>& aIsLinked,
  const std::function<void(const eventloop::SocketAddress&)>& aConnect)
{
  if (aNow < mNextConnect) {
    return;
  }
  mNextConnect = aNow + kConnectInterval;
  for (const auto& [node, text] : mAddresses) {
    const auto address = eventloop::ParseSocketAddress(text);
    if (address.has_value() && node != mOptions.mNode && !aIsLinked(node)) {
      aConnect(*address);
    }
  }
}

} // namespace oriolevane::cellnode
