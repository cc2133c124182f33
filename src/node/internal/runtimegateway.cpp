#include "node/internal/runtime.h"

#include <utility>

#include "framework/stablehash.h"
#include "node/internal/requestof.h"

namespace oriolevane::node {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kAskAgainAfter{ 1'000 };

} // namespace

gateway::GatewayHooks
Runtime::GatewayHooks()
{
  return { .mCall =
             [this](const protocol::CallBody& aBody, milliseconds aTimeout) {
               return Call(aBody, aTimeout);
             },
           .mReadiness = [this] { return Readiness(); },
           .mNodes = [this] { return Nodes(); },
           .mShards = [this] { return mCore.Summary().mDigests; },
           .mWorkers =
             [this] {
               const std::lock_guard lock(mHostsMutex);
               return mHosts;
             },
           .mConfiguration = [this] { return mConfigurationView.Current(); },
           .mApplyPatch =
             [this](const configuration::PatchRequest& aRequest) {
               configuration::PatchOutcome outcome =
                 mConfigurationStore.ApplyPatch(aRequest);
               mConfigurationDuty->RunSoon();
               return outcome;
             },
           .mFindPatch =
             [this](const std::string& aPatchId) {
               return mConfigurationStore.FindPatch(aPatchId);
             },
           .mHistory =
             [this](ConfigurationVersion aAfter, std::size_t aMost) {
               return mConfigurationStore.History(aAfter, aMost);
             },
           .mReport =
             [this] {
               return report::ReportJson(
                 mBurn.Report(std::chrono::steady_clock::now()));
             },
           .mMetrics = [this] { return MetricsText(); } };
}

PartitionId
Runtime::PartitionOf(const RequestId& aRequest) const
{
  return PartitionId(static_cast<std::uint32_t>(
    StableHash(aRequest.mValue) % mSettings.mCell.mRequestPartitions));
}

protocol::RequestStatus
Runtime::Call(const protocol::CallBody& aBody, milliseconds aTimeout)
{
  const RequestId id = RequestOf(aBody);
  protocol::RequestStatus undecided{ .mId = id,
                                     .mOutcome = protocol::Outcome::NotKnownYet,
                                     .mRetryAfter = kAskAgainAfter };
  const std::uint64_t call = mCalls.Open();
  if (!mCore.TryPost(GatewayCall{
        { .mCall = call, .mPartition = PartitionOf(id), .mBody = aBody } })) {
    mCalls.Wait(call, milliseconds(0));
    undecided.mReason = protocol::RefusalReason::Recovering;
    undecided.mDetail = "this node has too much to do";
    return undecided;
  }
  std::optional<protocol::RequestStatus> reply = mCalls.Wait(call, aTimeout);
  if (!reply.has_value()) {
    mCore.TryPost(GatewayCallAbandoned{ call });
  }
  protocol::RequestStatus status = std::move(reply).value_or(undecided);
  mMetrics.CountReply(status.mOutcome, status.mReason);
  return status;
}

gateway::Readiness
Runtime::Readiness() const
{
  if (mLeaving.load()) {
    return { false, "this node is stopping" };
  }
  if (!mConfigurationView.HasVersion()) {
    return { false, "no configuration version yet" };
  }
  if (!mNodes.IsMember(mSettings.mNode)) {
    return { false, "not yet a member" };
  }
  return { true, "" };
}

std::vector<gateway::NodeInfo>
Runtime::Nodes() const
{
  return mNodes.Nodes(mSettings.mNode,
                      mConfigurationView.Current().mVersion,
                      mPeers->Connected());
}

std::string
Runtime::MetricsText()
{
  mMetrics.SetStoreUp(mStoreUp.load());
  mMetrics.SetConfiguration(mConfigurationView.Current().mVersion);
  mMetrics.SetSummary(mCore.Summary());
  mMetrics.SetTraffic(mPeers->Counters());
  mMetrics.SetBurn(mBurn.Report(std::chrono::steady_clock::now()));
  return mMetrics.Text();
}

} // namespace oriolevane::node
