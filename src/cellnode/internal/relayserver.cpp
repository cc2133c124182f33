#include "cellnode/internal/relayserver.h"

#include <chrono>
#include <utility>

#include "cellnode/internal/relaymessages.h"
#include "framework/log.h"

namespace oriolevane::cellnode {

RelayServer::RelayServer(RelayServerHooks aHooks)
  : mHooks(std::move(aHooks))
{
}

RelayServer::~RelayServer()
{
  *mAlive = false;
}

void
RelayServer::OnCalls(const NodeId& aFrom,
                     const cellwire::WorkerCallBatchT& aBatch)
{
  for (const auto& payload : aBatch.payloads) {
    mPayloads[aFrom].Add(jobs::JobId(payload->job), payload->text);
  }
  for (const auto& call : aBatch.stops) {
    Stop(aFrom, *call);
  }
  for (const auto& call : aBatch.starts) {
    Start(aFrom, *call);
  }
  for (const auto& call : aBatch.polls) {
    Poll(aFrom, *call);
  }
}

std::function<void(const jobs::OrderAnswer&)>
RelayServer::OrderReplier(const NodeId& aTo, std::uint64_t aId)
{
  return [this, alive = mAlive, aTo, aId](const jobs::OrderAnswer& aAnswer) {
    if (*alive) {
      BatchFor(aTo).orders.push_back(
        std::make_unique<cellwire::OrderReplyT>(ToWire(aId, aAnswer)));
    }
  };
}

void
RelayServer::Start(const NodeId& aFrom, const cellwire::StartCallT& aCall)
{
  std::optional<jobs::StartOrder> order = FromWire(aCall);
  if (!order.has_value()) {
    LogWarning("relayed_call_refused")
      .With("from", aFrom)
      .With("task", aCall.task)
      .With("reason", "the task is not readable");
    return;
  }
  const std::string* payload = mPayloads[aFrom].Find(order->mTask.mStep.mJob);
  if (payload == nullptr) {
    auto reply = std::make_unique<cellwire::OrderReplyT>(
      ToWire(aCall.id, jobs::OrderAnswer{}));
    reply->payload_missing = true;
    BatchFor(aFrom).orders.push_back(std::move(reply));
    return;
  }
  order->mPayload = *payload;
  mHooks.mUpstreams.mStart(*order,
                           std::chrono::milliseconds(aCall.timeout_ms),
                           OrderReplier(aFrom, aCall.id));
}

void
RelayServer::Stop(const NodeId& aFrom, const cellwire::StopCallT& aCall)
{
  const std::optional<jobs::StopOrder> order = FromWire(aCall);
  if (!order.has_value()) {
    LogWarning("relayed_call_refused")
      .With("from", aFrom)
      .With("task", aCall.task)
      .With("reason", "the task is not readable");
    return;
  }
  mHooks.mUpstreams.mStop(*order,
                          std::chrono::milliseconds(aCall.timeout_ms),
                          OrderReplier(aFrom, aCall.id));
}

void
RelayServer::Poll(const NodeId& aFrom, const cellwire::PollCallT& aCall)
{
  const jobs::PollOrder order = FromWire(aCall);
  mHooks.mUpstreams.mPoll(
    order,
    order.mWait + std::chrono::milliseconds(aCall.timeout_ms),
    [this, alive = mAlive, aFrom, id = aCall.id](
      const jobs::PollAnswer& aAnswer) {
      if (*alive) {
        BatchFor(aFrom).polls.push_back(
          std::make_unique<cellwire::PollReplyT>(ToWire(id, aAnswer)));
      }
    });
}

cellwire::WorkerAnswerBatchT&
RelayServer::BatchFor(const NodeId& aNode)
{
  if (mBatches.empty()) {
    mHooks.mRequestFlush();
  }
  return mBatches[aNode];
}

void
RelayServer::Flush()
{
  for (auto& [node, batch] : std::exchange(mBatches, {})) {
    mHooks.mSend(node, std::move(batch));
  }
}

} // namespace oriolevane::cellnode
