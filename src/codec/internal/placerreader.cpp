#include "codec/internal/placerwire.h"

namespace oriolevane::codec {

namespace {

protocol::HeldTask
ReadHeld(WireReader& aReader, const wire::HeldTask& aTable)
{
  return { .mTask = aReader.Task(aTable.task()),
           .mState = aReader.State(aTable.state()),
           .mWorker =
             WorkerId(aReader.OptionalId(aTable.worker(), "tasks.worker")) };
}

} // namespace

protocol::PlaceTasks
Read(WireReader& aReader, const wire::PlaceTasks& aTable)
{
  protocol::PlaceTasks message;
  message.mRoute = aReader.Route(aTable.route());
  message.mRequest = RequestId(aReader.Id(aTable.request(), "request"));
  message.mIndexes = aReader.Numbers(aTable.indexes(), "indexes");
  message.mAttempt = aTable.attempt();
  message.mShardEpoch = Epoch(aTable.shard_epoch());
  message.mTogether = aTable.together();
  message.mHold = aTable.hold();
  message.mHoldFor = aReader.Time(aTable.hold_for_ms(), "hold_for_ms");
  message.mTeam = TeamId(aReader.OptionalId(aTable.team(), "team"));
  message.mWorkload =
    WorkloadId(aReader.OptionalId(aTable.workload(), "workload"));
  message.mUrgency =
    aReader.Enum(aTable.urgency(), protocol::Urgency::Urgent, "urgency");
  message.mNeverRepeat = aTable.never_repeat();
  message.mService = aTable.service();
  message.mPerTask = aReader.Amounts(aTable.per_task(), "per_task");
  message.mExpectedRunTime =
    aReader.Time(aTable.expected_run_time_ms(), "expected_run_time_ms");
  message.mTimeToDeadline =
    aReader.OptionalTime(aTable.time_to_deadline_ms(), "time_to_deadline_ms");
  message.mAge = aReader.Time(aTable.age_ms(), "age_ms");
  message.mAvoid = aReader.List(
    aTable.avoid(), "avoid", [&](const flatbuffers::String* aWorker) {
      return WorkerId(aReader.OptionalId(aWorker, "avoid"));
    });
  message.mPayload = aReader.Bytes(aTable.payload(), "payload");
  return message;
}

protocol::CommitHold
Read(WireReader& aReader, const wire::CommitHold& aTable)
{
  return { .mRoute = aReader.Route(aTable.route()),
           .mRequest = RequestId(aReader.Id(aTable.request(), "request")),
           .mAttempt = aTable.attempt() };
}

protocol::CancelTasks
Read(WireReader& aReader, const wire::CancelTasks& aTable)
{
  return { .mRoute = aReader.Route(aTable.route()),
           .mShardEpoch = Epoch(aTable.shard_epoch()),
           .mTasks = aReader.List(
             aTable.tasks(), "tasks", [&](const wire::TaskKey* aTask) {
               return aReader.Task(aTask);
             }) };
}

protocol::UpdateAck
Read(WireReader& aReader, const wire::UpdateAck& aTable)
{
  return { .mRoute = aReader.Route(aTable.route()),
           .mTask = aReader.Task(aTable.task()) };
}

protocol::ReconcileQuery
Read(WireReader& aReader, const wire::ReconcileQuery& aTable)
{
  return { .mRoute = aReader.Route(aTable.route()) };
}

protocol::TaskUpdate
Read(WireReader& aReader, const wire::TaskUpdate& aTable)
{
  protocol::TaskUpdate message;
  message.mRoute = aReader.Route(aTable.route());
  message.mTask = aReader.Task(aTable.task());
  message.mState = aReader.State(aTable.state());
  message.mReason = aReader.Enum(
    aTable.reason(), protocol::TaskEndReason::CapacityLimit, "reason");
  message.mWorker = WorkerId(aReader.OptionalId(aTable.worker(), "worker"));
  message.mAnswer = aReader.Bytes(aTable.answer(), "answer");
  message.mRetryAfter =
    aReader.OptionalTime(aTable.retry_after_ms(), "retry_after_ms");
  return message;
}

protocol::TasksHeld
Read(WireReader& aReader, const wire::TasksHeld& aTable)
{
  return { .mRoute = aReader.Route(aTable.route()),
           .mRequest = RequestId(aReader.Id(aTable.request(), "request")),
           .mAttempt = aTable.attempt(),
           .mIndexes = aReader.Numbers(aTable.indexes(), "indexes"),
           .mHeldFor = aReader.Time(aTable.held_for_ms(), "held_for_ms") };
}

protocol::ReconcileAnswer
Read(WireReader& aReader, const wire::ReconcileAnswer& aTable)
{
  return { .mRoute = aReader.Route(aTable.route()),
           .mComplete = aTable.complete(),
           .mTasks = aReader.List(
             aTable.tasks(), "tasks", [&](const wire::HeldTask* aHeld) {
               return ReadHeld(aReader, *aHeld);
             }) };
}

} // namespace oriolevane::codec
