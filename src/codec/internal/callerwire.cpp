#include "codec/internal/callerwire.h"

namespace oriolevane::codec {

using protocol::CallerCall;
using protocol::CallerReply;
using protocol::CancelCall;
using protocol::RequestSpec;
using protocol::StatusCall;
using protocol::SubmitCall;
using protocol::TaskStatus;
using protocol::TrailEntry;

namespace {

Offset<wire::RequestSpec>
WriteSpec(FlatBufferBuilder& aBuilder, const RequestSpec& aSpec)
{
  const wire::Resources perTask = WriteAmounts(aSpec.mPerTask);
  const auto id = WriteText(aBuilder, aSpec.mId.mValue);
  const auto team = WriteText(aBuilder, aSpec.mTeam.mValue);
  const auto workload = WriteText(aBuilder, aSpec.mWorkload.mValue);
  const auto payload = WriteBytes(aBuilder, aSpec.mPayload);
  wire::RequestSpecBuilder table(aBuilder);
  table.add_id(id);
  table.add_team(team);
  table.add_workload(workload);
  table.add_urgency(static_cast<std::uint8_t>(aSpec.mUrgency));
  table.add_never_repeat(aSpec.mNeverRepeat);
  table.add_caller_waits(aSpec.mCallerWaits);
  table.add_service(aSpec.mService);
  table.add_start_together(aSpec.mStartTogether);
  table.add_task_count(aSpec.mTaskCount);
  table.add_per_task(&perTask);
  table.add_declared_run_time_ms(aSpec.mDeclaredRunTime.count());
  if (aSpec.mDeadline.has_value()) {
    table.add_deadline_ms(aSpec.mDeadline->count());
  }
  table.add_payload(payload);
  return table.Finish();
}

RequestSpec
ReadSpec(WireReader& aReader, const wire::RequestSpec* aTable)
{
  RequestSpec spec;
  if (aTable == nullptr) {
    aReader.Fail("spec", "missing");
    return spec;
  }
  spec.mId = RequestId(aReader.Id(aTable->id(), "spec.id"));
  spec.mTeam = TeamId(aReader.OptionalId(aTable->team(), "spec.team"));
  spec.mWorkload =
    WorkloadId(aReader.OptionalId(aTable->workload(), "spec.workload"));
  spec.mUrgency =
    aReader.Enum(aTable->urgency(), protocol::Urgency::Urgent, "spec.urgency");
  spec.mNeverRepeat = aTable->never_repeat();
  spec.mCallerWaits = aTable->caller_waits();
  spec.mService = aTable->service();
  spec.mStartTogether = aTable->start_together();
  spec.mTaskCount = aTable->task_count();
  spec.mPerTask = aReader.Amounts(aTable->per_task(), "spec.per_task");
  spec.mDeclaredRunTime =
    aReader.Time(aTable->declared_run_time_ms(), "spec.declared_run_time_ms");
  spec.mDeadline =
    aReader.OptionalTime(aTable->deadline_ms(), "spec.deadline_ms");
  spec.mPayload = aReader.Bytes(aTable->payload(), "spec.payload");
  return spec;
}

// A call's body and its place in the union.
struct WrittenBody
{
  wire::CallBody mType = wire::CallBody::NONE;
  Offset<void> mTable;
};

WrittenBody
WriteBody(FlatBufferBuilder& aBuilder, const SubmitCall& aCall)
{
  const auto spec = WriteSpec(aBuilder, aCall.mSpec);
  return { wire::CallBody::SubmitCall,
           wire::CreateSubmitCall(aBuilder, spec).Union() };
}

WrittenBody
WriteBody(FlatBufferBuilder& aBuilder, const StatusCall& aCall)
{
  const auto id = WriteText(aBuilder, aCall.mId.mValue);
  return {
    wire::CallBody::StatusCall,
    wire::CreateStatusCall(aBuilder, id, aCall.mExplain, aCall.mWait).Union()
  };
}

WrittenBody
WriteBody(FlatBufferBuilder& aBuilder, const CancelCall& aCall)
{
  const auto id = WriteText(aBuilder, aCall.mId.mValue);
  return { wire::CallBody::CancelCall,
           wire::CreateCancelCall(aBuilder, id).Union() };
}

protocol::CallBody
ReadBody(WireReader& aReader, const wire::CallerCall& aTable)
{
  if (const auto* submit = aTable.body_as_SubmitCall()) {
    return SubmitCall{ .mSpec = ReadSpec(aReader, submit->spec()) };
  }
  if (const auto* status = aTable.body_as_StatusCall()) {
    return StatusCall{ .mId = RequestId(aReader.Id(status->id(), "body.id")),
                       .mExplain = status->explain(),
                       .mWait = status->wait() };
  }
  if (const auto* cancel = aTable.body_as_CancelCall()) {
    return CancelCall{ .mId = RequestId(aReader.Id(cancel->id(), "body.id")) };
  }
  aReader.Fail("body", "unknown kind of call");
  return {};
}

Offset<wire::TaskStatus>
WriteTaskStatus(FlatBufferBuilder& aBuilder, const TaskStatus& aStatus)
{
  const auto worker = WriteText(aBuilder, aStatus.mWorker.mValue);
  const auto answer = WriteBytes(aBuilder, aStatus.mAnswer);
  return wire::CreateTaskStatus(aBuilder,
                                aStatus.mIndex,
                                aStatus.mAttempt,
                                static_cast<std::uint8_t>(aStatus.mState),
                                worker,
                                answer);
}

TaskStatus
ReadTaskStatus(WireReader& aReader, const wire::TaskStatus& aTable)
{
  return { .mIndex = aTable.index(),
           .mAttempt = aTable.attempt(),
           .mState = aReader.State(aTable.state()),
           .mWorker =
             WorkerId(aReader.OptionalId(aTable.worker(), "tasks.worker")),
           .mAnswer = aReader.Bytes(aTable.answer(), "tasks.answer") };
}

Offset<wire::TrailEntry>
WriteTrail(FlatBufferBuilder& aBuilder, const TrailEntry& aEntry)
{
  const auto event = WriteText(aBuilder, aEntry.mEvent);
  const auto detail = WriteText(aBuilder, aEntry.mDetail);
  return wire::CreateTrailEntry(
    aBuilder, aEntry.mSinceSubmission.count(), event, detail);
}

TrailEntry
ReadTrail(WireReader& aReader, const wire::TrailEntry& aTable)
{
  return { .mSinceSubmission =
             aReader.Time(aTable.since_submission_ms(), "trail"),
           .mEvent = aReader.Text(aTable.event(), "trail.event"),
           .mDetail = aReader.Text(aTable.detail(), "trail.detail") };
}

} // namespace

Offset<wire::CallerCall>
Write(FlatBufferBuilder& aBuilder, const CallerCall& aMessage)
{
  const WrittenBody body =
    std::visit([&](const auto& aCall) { return WriteBody(aBuilder, aCall); },
               aMessage.mBody);
  return wire::CreateCallerCall(aBuilder,
                                aMessage.mCall,
                                aMessage.mPartition.mValue,
                                body.mType,
                                body.mTable);
}

Offset<wire::CallerReply>
Write(FlatBufferBuilder& aBuilder, const CallerReply& aMessage)
{
  const protocol::RequestStatus& status = aMessage.mStatus;
  const auto id = WriteText(aBuilder, status.mId.mValue);
  const auto detail = WriteText(aBuilder, status.mDetail);
  const auto tasks =
    WriteList(aBuilder, status.mTasks, [&](const TaskStatus& aTask) {
      return WriteTaskStatus(aBuilder, aTask);
    });
  const auto trail =
    WriteList(aBuilder, status.mTrail, [&](const TrailEntry& aEntry) {
      return WriteTrail(aBuilder, aEntry);
    });
  wire::CallerReplyBuilder table(aBuilder);
  table.add_call(aMessage.mCall);
  table.add_id(id);
  table.add_outcome(static_cast<std::uint8_t>(status.mOutcome));
  table.add_reason(static_cast<std::uint8_t>(status.mReason));
  table.add_detail(detail);
  if (status.mRetryAfter.has_value()) {
    table.add_retry_after_ms(status.mRetryAfter->count());
  }
  table.add_tasks(tasks);
  table.add_trail(trail);
  return table.Finish();
}

CallerCall
Read(WireReader& aReader, const wire::CallerCall& aTable)
{
  return { .mCall = aTable.call(),
           .mPartition = PartitionId(aTable.partition()),
           .mBody = ReadBody(aReader, aTable) };
}

CallerReply
Read(WireReader& aReader, const wire::CallerReply& aTable)
{
  CallerReply message;
  message.mCall = aTable.call();
  protocol::RequestStatus& status = message.mStatus;
  status.mId = RequestId(aReader.OptionalId(aTable.id(), "id"));
  status.mOutcome =
    aReader.Enum(aTable.outcome(), protocol::Outcome::NotFound, "outcome");
  status.mReason = aReader.Enum(
    aTable.reason(), protocol::RefusalReason::NoCapacity, "reason");
  status.mDetail = aReader.Text(aTable.detail(), "detail");
  status.mRetryAfter =
    aReader.OptionalTime(aTable.retry_after_ms(), "retry_after_ms");
  status.mTasks =
    aReader.List(aTable.tasks(), "tasks", [&](const wire::TaskStatus* aTask) {
      return ReadTaskStatus(aReader, *aTask);
    });
  status.mTrail =
    aReader.List(aTable.trail(), "trail", [&](const wire::TrailEntry* aEntry) {
      return ReadTrail(aReader, *aEntry);
    });
  return message;
}

} // namespace oriolevane::codec
