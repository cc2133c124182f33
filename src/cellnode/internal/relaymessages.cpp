#include "cellnode/internal/relaymessages.h"

#include <algorithm>
#include <memory>

#include "cellnode/internal/peermessages.h"

namespace oriolevane::cellnode {

namespace {

jobs::OrderResult
ResultFrom(std::uint8_t aValue)
{
  constexpr auto kHighest =
    static_cast<std::uint8_t>(jobs::OrderResult::Unknown);
  return aValue <= kHighest ? static_cast<jobs::OrderResult>(aValue)
                            : jobs::OrderResult::Unknown;
}

// Returns nothing for a value that is no kind of end.
std::optional<jobs::EndKind>
EndKindFrom(std::uint8_t aValue)
{
  constexpr auto kHighest =
    static_cast<std::uint8_t>(jobs::EndKind::GangIncomplete);
  if (aValue > kHighest) {
    return std::nullopt;
  }
  return static_cast<jobs::EndKind>(aValue);
}

std::optional<jobs::RunningTask>
FromWire(const cellwire::RunningEntryT& aEntry)
{
  const auto task = jobs::ParseTaskKey(aEntry.task);
  if (!task.has_value()) {
    return std::nullopt;
  }
  return jobs::RunningTask{ .mTask = *task,
                            .mRun = jobs::RunNumber(aEntry.run),
                            .mCheckpoint = aEntry.checkpoint,
                            .mPercent = aEntry.percent };
}

std::optional<jobs::EndedTask>
FromWire(const cellwire::EndedEntryT& aEntry)
{
  const auto task = jobs::ParseTaskKey(aEntry.task);
  const auto kind = EndKindFrom(aEntry.kind);
  if (!task.has_value() || !kind.has_value()) {
    return std::nullopt;
  }
  return jobs::EndedTask{ .mSerial = aEntry.serial,
                          .mTask = *task,
                          .mRun = jobs::RunNumber(aEntry.run),
                          .mKind = *kind,
                          .mCheckpoint = aEntry.checkpoint };
}

// Returns false when an entry is not readable.
template<typename Entry, typename Value>
bool
ReadEntries(const std::vector<std::unique_ptr<Entry>>& aEntries,
            std::vector<Value>& aValues)
{
  for (const std::unique_ptr<Entry>& entry : aEntries) {
    std::optional<Value> value = FromWire(*entry);
    if (!value.has_value()) {
      return false;
    }
    aValues.push_back(*std::move(value));
  }
  return true;
}

cellwire::RunningEntryT
ToWire(const jobs::RunningTask& aRunning)
{
  cellwire::RunningEntryT entry;
  entry.task = aRunning.mTask.ToText();
  entry.run = aRunning.mRun.mValue;
  entry.checkpoint = aRunning.mCheckpoint;
  entry.percent =
    static_cast<std::uint8_t>(std::clamp(aRunning.mPercent, 0, 255));
  return entry;
}

cellwire::EndedEntryT
ToWire(const jobs::EndedTask& aEnded)
{
  cellwire::EndedEntryT entry;
  entry.serial = aEnded.mSerial;
  entry.task = aEnded.mTask.ToText();
  entry.run = aEnded.mRun.mValue;
  entry.kind = static_cast<std::uint8_t>(aEnded.mKind);
  entry.checkpoint = aEnded.mCheckpoint;
  return entry;
}

} // namespace

cellwire::StartCallT
ToWire(std::uint64_t aId, const jobs::StartOrder& aOrder, Duration aTimeout)
{
  cellwire::StartCallT call;
  call.id = aId;
  call.worker = aOrder.mWorker.mId.mValue;
  call.address = aOrder.mWorker.mAddress;
  call.token = aOrder.mToken.mValue;
  call.task = aOrder.mTask.ToText();
  call.run = aOrder.mRun.mValue;
  call.checkpoint = aOrder.mCheckpoint;
  call.ticket = aOrder.mTicket;
  call.lease_end_ms = aOrder.mLeaseEnd.count();
  call.timeout_ms = ToWireMillis(aTimeout);
  return call;
}

cellwire::StopCallT
ToWire(std::uint64_t aId, const jobs::StopOrder& aOrder, Duration aTimeout)
{
  cellwire::StopCallT call;
  call.id = aId;
  call.worker = aOrder.mWorker.mId.mValue;
  call.address = aOrder.mWorker.mAddress;
  call.token = aOrder.mToken.mValue;
  call.task = aOrder.mTask.ToText();
  call.run = aOrder.mRun.mValue;
  call.timeout_ms = ToWireMillis(aTimeout);
  return call;
}

cellwire::PollCallT
ToWire(std::uint64_t aId, const jobs::PollOrder& aOrder, Duration aTimeout)
{
  cellwire::PollCallT call;
  call.id = aId;
  call.worker = aOrder.mWorker.mId.mValue;
  call.address = aOrder.mWorker.mAddress;
  call.token = aOrder.mToken.mValue;
  if (aOrder.mLeaseEnd.has_value()) {
    call.lease_end_ms = aOrder.mLeaseEnd->count();
  }
  call.confirmed = aOrder.mConfirmedEndSerial;
  call.wait_ms = ToWireMillis(aOrder.mWait);
  call.timeout_ms = ToWireMillis(aTimeout - aOrder.mWait);
  return call;
}

std::optional<jobs::StartOrder>
FromWire(const cellwire::StartCallT& aCall)
{
  const auto task = jobs::ParseTaskKey(aCall.task);
  if (!task.has_value()) {
    return std::nullopt;
  }
  return jobs::StartOrder{ .mWorker = { .mId = WorkerId(aCall.worker),
                                        .mAddress = aCall.address,
                                        .mZone = {} },
                           .mToken = jobs::FencingToken(aCall.token),
                           .mTask = *task,
                           .mRun = jobs::RunNumber(aCall.run),
                           .mPayload = {},
                           .mCheckpoint = aCall.checkpoint,
                           .mTicket = aCall.ticket,
                           .mLeaseEnd = jobs::WorkerTime(aCall.lease_end_ms) };
}

std::optional<jobs::StopOrder>
FromWire(const cellwire::StopCallT& aCall)
{
  const auto task = jobs::ParseTaskKey(aCall.task);
  if (!task.has_value()) {
    return std::nullopt;
  }
  return jobs::StopOrder{ .mWorker = { .mId = WorkerId(aCall.worker),
                                       .mAddress = aCall.address,
                                       .mZone = {} },
                          .mToken = jobs::FencingToken(aCall.token),
                          .mTask = *task,
                          .mRun = jobs::RunNumber(aCall.run) };
}

jobs::PollOrder
FromWire(const cellwire::PollCallT& aCall)
{
  jobs::PollOrder order{ .mWorker = { .mId = WorkerId(aCall.worker),
                                      .mAddress = aCall.address,
                                      .mZone = {} },
                         .mToken = jobs::FencingToken(aCall.token),
                         .mLeaseEnd = {},
                         .mConfirmedEndSerial = aCall.confirmed,
                         .mWait = std::chrono::milliseconds(aCall.wait_ms) };
  if (aCall.lease_end_ms.has_value()) {
    order.mLeaseEnd = jobs::WorkerTime(*aCall.lease_end_ms);
  }
  return order;
}

cellwire::OrderReplyT
ToWire(std::uint64_t aId, const jobs::OrderAnswer& aAnswer)
{
  cellwire::OrderReplyT reply;
  reply.id = aId;
  reply.result = static_cast<std::uint8_t>(aAnswer.mResult);
  if (aAnswer.mNow.has_value()) {
    reply.now_ms = aAnswer.mNow->count();
  }
  return reply;
}

cellwire::PollReplyT
ToWire(std::uint64_t aId, const jobs::PollAnswer& aAnswer)
{
  cellwire::PollReplyT reply;
  reply.id = aId;
  reply.result = static_cast<std::uint8_t>(aAnswer.mResult);
  const jobs::WorkerReport& report = aAnswer.mReport;
  reply.now_ms = report.mNow.count();
  if (report.mIncarnation.has_value()) {
    reply.incarnation = report.mIncarnation->mValue;
  }
  for (const jobs::RunningTask& running : report.mRunning) {
    reply.running.push_back(
      std::make_unique<cellwire::RunningEntryT>(ToWire(running)));
  }
  for (const jobs::EndedTask& ended : report.mEnded) {
    reply.ended.push_back(
      std::make_unique<cellwire::EndedEntryT>(ToWire(ended)));
  }
  reply.ends_truncated = report.mEndsTruncated;
  return reply;
}

jobs::OrderAnswer
FromWire(const cellwire::OrderReplyT& aReply)
{
  jobs::OrderAnswer answer{ .mResult = ResultFrom(aReply.result), .mNow = {} };
  if (aReply.now_ms.has_value()) {
    answer.mNow = jobs::WorkerTime(*aReply.now_ms);
  }
  return answer;
}

jobs::PollAnswer
FromWire(const cellwire::PollReplyT& aReply)
{
  jobs::PollAnswer answer{ .mResult = ResultFrom(aReply.result),
                           .mReport = {} };
  jobs::WorkerReport& report = answer.mReport;
  report.mNow = jobs::WorkerTime(aReply.now_ms);
  if (aReply.incarnation.has_value()) {
    report.mIncarnation = jobs::WorkerIncarnation(*aReply.incarnation);
  }
  report.mEndsTruncated = aReply.ends_truncated;
  if (!ReadEntries(aReply.running, report.mRunning) ||
      !ReadEntries(aReply.ended, report.mEnded)) {
    return {};
  }
  return answer;
}

} // namespace oriolevane::cellnode
