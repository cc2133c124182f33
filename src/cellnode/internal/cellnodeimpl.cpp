#include "cellnode/internal/cellnodeimpl.h"

#include <algorithm>
#include <random>
#include <utility>

#include "cellnode/internal/peermessages.h"
#include "framework/log.h"
#include "framework/steadynow.h"

namespace oriolevane::cellnode {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds kTickInterval = 50ms;
// An owner's ticks also show whether its event loop keeps up.
constexpr std::chrono::milliseconds kOwnerTickInterval = 20ms;
constexpr std::chrono::milliseconds kHeartbeatInterval = 200ms;
// A tick of the owner that comes later than this is logged.
constexpr std::chrono::milliseconds kLateTick = 200ms;
// After the stop signal, the node still answers requests on open connections
// for this fraction of the grace period.
constexpr double kServeShareOfGrace = 0.55;
// The process exits after this fraction of the grace period, even with open
// requests.
constexpr double kStopDeadlineShareOfGrace = 0.85;
// A relay collects answers of workers for this time before it sends them.
constexpr std::chrono::milliseconds kRelayAnswerDelay = 2ms;

std::uint64_t
RandomSeed()
{
  std::random_device device;
  return std::uniform_int_distribution<std::uint64_t>()(device);
}

} // namespace

CellNode::Impl::Impl(eventloop::EventLoop& aLoop,
                     NodeOptions aOptions,
                     RowStoreHooks aStore,
                     UpstreamHooks aUpstreams,
                     ExternalFormats aFormats)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
  , mStore(WithActivity(std::move(aStore), std::make_shared<StoreActivity>()))
  , mUpstreams(std::move(aUpstreams))
  , mFormats(std::move(aFormats))
  , mPeers(
      aLoop,
      { .mOnHello =
          [this](const NodeId& aNode, const cellwire::HelloT& aHello) {
            OnHello(aNode, aHello);
          },
        .mOnMessage =
          [this](const NodeId& aNode, const cellwire::MessageT& aMessage) {
            OnMessage(aNode, aMessage);
          },
        .mOnClosed = [this](const NodeId& aNode) { OnPeerClosed(aNode); } })
  , mNodeRegistry(aLoop, mOptions, mStore)
  , mPolicy({ .mNode = mOptions.mNode,
              .mIncarnation = mOptions.mIncarnation,
              .mFitness = mOptions.mFitness })
  , mShardClaimer(
      mOptions,
      mStore,
      mPolicy,
      { .mHighestEpoch = [this] { return mEpoch; },
        .mOnOwnerRow = [this](const OwnerRow& aRow) { OnOwnerRow(aRow); },
        .mOnClaimed =
          [this](const ClaimedShard& aShard) { BeginSession(aShard); } })
  , mCalls(mOptions.mIncarnation)
  , mConfiguration(
      aLoop,
      mStore,
      mFormats,
      { .mHashSeed = RandomSeed(), .mKeyWithdrawal = mOptions.mKeyWithdrawal },
      [this](const jobs::CellConfiguration& aConfiguration) {
        if (mSession != nullptr) {
          mSession->Configure(aConfiguration);
        }
      })
  , mRelayServer(MakeRelayServerHooks())
{
  mRelayFlushTimer = mLoop.MakeTimer([this] { mRelayServer.Flush(); });
  mTimer = mLoop.MakeTimer([this] { Tick(); });
}

CellNode::Impl::~Impl()
{
  *mAlive = false;
}

RelayServerHooks
CellNode::Impl::MakeRelayServerHooks()
{
  return { .mUpstreams = mUpstreams,
           .mSend =
             [this](const NodeId& aNode, cellwire::WorkerAnswerBatchT aBatch) {
               mPeers.Send(aNode, std::move(aBatch));
             },
           .mRequestFlush =
             [this] { mRelayFlushTimer->StartWithin(kRelayAnswerDelay); } };
}

absl::Status
CellNode::Impl::Start()
{
  const auto address = eventloop::ParseSocketAddress(mOptions.mPeerAddress);
  if (!address.has_value()) {
    return absl::InvalidArgumentError("not an address: " +
                                      mOptions.mPeerAddress);
  }
  if (absl::Status status = mPeers.Listen(*address); !status.ok()) {
    return status;
  }
  UpdateHello();
  mConfiguration.Start();
  Tick();
  return absl::OkStatus();
}

void
CellNode::Impl::LogLateTick(TimePoint aNow) const
{
  const Duration lag = aNow - mTickDue;
  if (lag < kLateTick) {
    return;
  }
  LogInfo("event_loop_late")
    .With("epoch", mEpoch)
    .With("lag_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(lag).count());
}

void
CellNode::Impl::Tick()
{
  const TimePoint now = SteadyNow();
  if (mSession != nullptr) {
    mLoopLag.OnTimer(mTickDue, now);
    LogLateTick(now);
    mSession->SetOverloaded(mLoopLag.IsOverloaded());
  }
  const Duration interval =
    mSession != nullptr ? kOwnerTickInterval : kTickInterval;
  mTickDue = now + interval;
  mTimer->StartAfter(interval);
  mNodeRegistry.Register(now);
  if (mSession != nullptr) {
    if (now >= mNextHeartbeat) {
      mNextHeartbeat = now + kHeartbeatInterval;
      SendHeartbeats();
    }
    mNodeRegistry.ConnectMissing(
      now,
      [this](const NodeId& aNode) { return mPeers.IsLinked(aNode); },
      [this](const eventloop::SocketAddress& aAddress) {
        mPeers.Connect(aAddress);
      });
    YieldIfNeeded(now);
  } else if (!mStopping) {
    mShardClaimer.Advance(now);
  }
  mCalls.Expire(now);
  mConfiguration.LogFreshness(BootClock::Now());
  if (mStopping) {
    FinishStopWhenIdle(now);
  }
}

void
CellNode::Impl::FinishStopWhenIdle(TimePoint aNow)
{
  const bool idle = mSession == nullptr && mCalls.Empty();
  const bool serveTimeOver =
    aNow >= mStopStartedAt + mOptions.mStopGrace * kServeShareOfGrace;
  const bool deadlinePassed =
    aNow >= mStopStartedAt + mOptions.mStopGrace * kStopDeadlineShareOfGrace;
  if (!(idle && serveTimeOver) && !deadlinePassed) {
    return;
  }
  if (!mOnStopped) {
    return;
  }
  mCalls.AnswerAll();
  std::exchange(mOnStopped, nullptr)();
}

void
CellNode::Impl::OnOwnerRow(const OwnerRow& aRow)
{
  mEpoch = std::max(mEpoch, aRow.mEpoch);
  const auto address = eventloop::ParseSocketAddress(aRow.mAddress);
  if (address.has_value() && aRow.mNode != mOptions.mNode &&
      !mPeers.IsLinked(aRow.mNode)) {
    mPeers.Connect(*address);
  }
}

bool
CellNode::Impl::IsReady() const
{
  if (mStopping || !mConfiguration.Current().has_value()) {
    return false;
  }
  return mSession != nullptr ? mSession->IsServing() : !mOwner.Empty();
}

void
CellNode::Impl::Stop(std::function<void()> aDone)
{
  if (mStopping) {
    return;
  }
  mStopping = true;
  mStopStartedAt = SteadyNow();
  mOnStopped = std::move(aDone);
  UpdateHello();
  if (mSession != nullptr) {
    mSession->Release();
  }
}

NodeStatus
CellNode::Impl::Status() const
{
  NodeStatus status;
  status.mOwnsShard = mSession != nullptr;
  status.mEpoch = mEpoch;
  status.mLinks = mPeers.LinkedNodes().size();
  status.mVersion = mConfiguration.Version();
  if (const auto age = mConfiguration.Age(BootClock::Now()); age.has_value()) {
    status.mConfigurationAge =
      std::chrono::duration_cast<std::chrono::milliseconds>(*age);
  }
  if (mSession != nullptr) {
    status.mCounts = mSession->Counts();
    status.mAdviceBacklog = mSession->QueriesWaiting();
    status.mStoreAge = std::chrono::duration_cast<std::chrono::milliseconds>(
      mSession->StoreAge(SteadyNow()));
  }
  return status;
}

} // namespace oriolevane::cellnode
