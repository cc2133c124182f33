#include "cellnode/internal/relayedcalls.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

#include "cellnode/internal/relaymessages.h"
#include "framework/log.h"

namespace oriolevane::cellnode {

namespace {

using namespace std::chrono_literals;

// A relay reports a worker that does not answer by the call's timeout. The
// owner waits this much longer for that report.
constexpr std::chrono::milliseconds kRelayAnswerMargin = 150ms;

} // namespace

RelayedCalls::RelayedCalls(Epoch aEpoch,
                           RelaySelectorOptions aOptions,
                           RelayedCallsHooks aHooks)
  : mHooks(std::move(aHooks))
  , mSelector(aOptions)
  , mIds(RequestIds<RelayedCallId>::OfTerm(aEpoch))
{
}

UpstreamHooks
RelayedCalls::MakeHooks()
{
  return {
    .mStart = [this](const jobs::StartOrder& aOrder,
                     Duration aTimeout,
                     auto aDone) { Start(aOrder, aTimeout, std::move(aDone)); },
    .mStop = [this](const jobs::StopOrder& aOrder,
                    Duration aTimeout,
                    auto aDone) { Stop(aOrder, aTimeout, std::move(aDone)); },
    .mPoll = [this](const jobs::PollOrder& aOrder,
                    Duration aTimeout,
                    auto aDone) { Poll(aOrder, aTimeout, std::move(aDone)); },
    .mAdvise = mHooks.mDirect.mAdvise
  };
}

RelayedCallId
RelayedCalls::AddCall(const NodeId& aRelay,
                      Duration aTimeout,
                      std::variant<OrderDone, PollDone> aDone)
{
  const RelayedCallId id = mIds.Next();
  const TimePoint expiresAt =
    mHooks.mNow() + aTimeout + Duration(kRelayAnswerMargin);
  mCalls.emplace(id,
                 Call{ .mRelay = aRelay,
                       .mExpiresAt = expiresAt,
                       .mDone = std::move(aDone) });
  mExpiry.emplace(expiresAt, id);
  return id;
}

cellwire::WorkerCallBatchT&
RelayedCalls::BatchFor(const NodeId& aRelay)
{
  if (mBatches.empty()) {
    mHooks.mRequestFlush();
  }
  return mBatches[aRelay];
}

void
RelayedCalls::AddPayload(const NodeId& aRelay, const jobs::StartOrder& aOrder)
{
  const jobs::JobId& job = aOrder.mTask.mStep.mJob;
  RecentJobs<std::monostate>& sent = mSentPayloads[aRelay];
  if (sent.Contains(job)) {
    return;
  }
  sent.Add(job, {});
  auto payload = std::make_unique<cellwire::JobPayloadT>();
  payload->job = job.mValue;
  payload->text = aOrder.mPayload;
  BatchFor(aRelay).payloads.push_back(std::move(payload));
}

void
RelayedCalls::Start(const jobs::StartOrder& aOrder,
                    Duration aTimeout,
                    OrderDone aDone)
{
  const auto relay = mSelector.RelayFor(aOrder.mWorker, mHooks.mNow());
  if (!relay.has_value()) {
    mHooks.mDirect.mStart(aOrder, aTimeout, std::move(aDone));
    return;
  }
  const RelayedCallId id = AddCall(*relay, aTimeout, std::move(aDone));
  AddPayload(*relay, aOrder);
  BatchFor(*relay).starts.push_back(std::make_unique<cellwire::StartCallT>(
    ToWire(id.mValue, aOrder, aTimeout)));
}

void
RelayedCalls::Stop(const jobs::StopOrder& aOrder,
                   Duration aTimeout,
                   OrderDone aDone)
{
  const auto relay = mSelector.RelayFor(aOrder.mWorker, mHooks.mNow());
  if (!relay.has_value()) {
    mHooks.mDirect.mStop(aOrder, aTimeout, std::move(aDone));
    return;
  }
  const RelayedCallId id = AddCall(*relay, aTimeout, std::move(aDone));
  BatchFor(*relay).stops.push_back(
    std::make_unique<cellwire::StopCallT>(ToWire(id.mValue, aOrder, aTimeout)));
}

void
RelayedCalls::Poll(const jobs::PollOrder& aOrder,
                   Duration aTimeout,
                   PollDone aDone)
{
  const auto relay = mSelector.RelayFor(aOrder.mWorker, mHooks.mNow());
  if (!relay.has_value()) {
    mHooks.mDirect.mPoll(aOrder, aTimeout, std::move(aDone));
    return;
  }
  const RelayedCallId id = AddCall(*relay, aTimeout, std::move(aDone));
  BatchFor(*relay).polls.push_back(
    std::make_unique<cellwire::PollCallT>(ToWire(id.mValue, aOrder, aTimeout)));
}

void
RelayedCalls::Flush()
{
  for (auto& [relay, batch] : std::exchange(mBatches, {})) {
    mHooks.mSend(relay, std::move(batch));
  }
}

std::optional<RelayedCalls::Call>
RelayedCalls::Take(RelayedCallId aId)
{
  const auto found = mCalls.find(aId);
  if (found == mCalls.end()) {
    return std::nullopt;
  }
  Call call = std::move(found->second);
  mCalls.erase(found);
  const auto [begin, end] = mExpiry.equal_range(call.mExpiresAt);
  const auto entry = std::find_if(
    begin, end, [aId](const auto& aEntry) { return aEntry.second == aId; });
  if (entry != end) {
    mExpiry.erase(entry);
  }
  return call;
}

std::optional<RelayedCalls::Call>
RelayedCalls::TakeAnswered(RelayedCallId aId)
{
  if (!mIds.HasIssued(aId)) {
    mHooks.mOnStaleAnswer(aId);
    return std::nullopt;
  }
  return Take(aId);
}

void
RelayedCalls::FinishWithoutAnswer(RelayedCallId aId)
{
  const std::optional<Call> call = Take(aId);
  if (!call.has_value()) {
    return;
  }
  if (const auto* order = std::get_if<OrderDone>(&call->mDone)) {
    (*order)({ .mResult = jobs::OrderResult::Unknown, .mNow = {} });
  } else {
    std::get<PollDone>(call->mDone)({});
  }
}

void
RelayedCalls::OnAnswers(const cellwire::WorkerAnswerBatchT& aAnswers)
{
  for (const auto& reply : aAnswers.orders) {
    const std::optional<Call> call = TakeAnswered(RelayedCallId(reply->id));
    const auto* done =
      call.has_value() ? std::get_if<OrderDone>(&call->mDone) : nullptr;
    if (done == nullptr) {
      continue;
    }
    if (reply->payload_missing) {
      LogInfo("relay_lacks_payload").With("relay", call->mRelay);
      mSentPayloads.erase(call->mRelay);
    }
    (*done)(FromWire(*reply));
  }
  for (const auto& reply : aAnswers.polls) {
    const std::optional<Call> call = TakeAnswered(RelayedCallId(reply->id));
    const auto* done =
      call.has_value() ? std::get_if<PollDone>(&call->mDone) : nullptr;
    if (done != nullptr) {
      (*done)(FromWire(*reply));
    }
  }
}

void
RelayedCalls::RemoveNode(const NodeId& aNode)
{
  mSelector.RemoveNode(aNode);
  mBatches.erase(aNode);
  mSentPayloads.erase(aNode);
  std::vector<RelayedCallId> ended;
  for (const auto& [id, call] : mCalls) {
    if (call.mRelay == aNode) {
      ended.push_back(id);
    }
  }
  for (const RelayedCallId id : ended) {
    FinishWithoutAnswer(id);
  }
}

void
RelayedCalls::Expire(TimePoint aNow)
{
  while (!mExpiry.empty() && mExpiry.begin()->first <= aNow) {
    const RelayedCallId id = mExpiry.begin()->second;
    const NodeId relay = mCalls.at(id).mRelay;
    LogInfo("relay_silent").With("relay", relay).With("call", id);
    mSelector.OnSilent(relay, aNow);
    FinishWithoutAnswer(id);
  }
}

} // namespace oriolevane::cellnode
