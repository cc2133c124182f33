#include "codec/internal/placerwire.h"

namespace oriolevane::codec {

namespace {

Offset<wire::HeldTask>
WriteHeld(FlatBufferBuilder& aBuilder, const protocol::HeldTask& aHeld)
{
  const auto task = WriteTask(aBuilder, aHeld.mTask);
  const auto worker = WriteText(aBuilder, aHeld.mWorker.mValue);
  return wire::CreateHeldTask(
    aBuilder, task, static_cast<std::uint8_t>(aHeld.mState), worker);
}

Offset<flatbuffers::Vector<std::uint32_t>>
WriteNumbers(FlatBufferBuilder& aBuilder,
             const std::vector<std::uint32_t>& aNumbers)
{
  return WriteList(
    aBuilder, aNumbers, [](std::uint32_t aNumber) { return aNumber; });
}

} // namespace

Offset<wire::PlaceTasks>
Write(FlatBufferBuilder& aBuilder, const protocol::PlaceTasks& aMessage)
{
  const wire::Route route = WriteRoute(aMessage.mRoute);
  const wire::Resources perTask = WriteAmounts(aMessage.mPerTask);
  const auto request = WriteText(aBuilder, aMessage.mRequest.mValue);
  const auto indexes = WriteNumbers(aBuilder, aMessage.mIndexes);
  const auto team = WriteText(aBuilder, aMessage.mTeam.mValue);
  const auto workload = WriteText(aBuilder, aMessage.mWorkload.mValue);
  const auto avoid =
    WriteList(aBuilder, aMessage.mAvoid, [&](const WorkerId& aWorker) {
      return aBuilder.CreateString(aWorker.mValue);
    });
  const auto payload = WriteBytes(aBuilder, aMessage.mPayload);
  wire::PlaceTasksBuilder table(aBuilder);
  table.add_route(&route);
  table.add_request(request);
  table.add_indexes(indexes);
  table.add_attempt(aMessage.mAttempt);
  table.add_shard_epoch(aMessage.mShardEpoch.mValue);
  table.add_together(aMessage.mTogether);
  table.add_hold(aMessage.mHold);
  table.add_hold_for_ms(aMessage.mHoldFor.count());
  table.add_team(team);
  table.add_workload(workload);
  table.add_urgency(static_cast<std::uint8_t>(aMessage.mUrgency));
  table.add_never_repeat(aMessage.mNeverRepeat);
  table.add_service(aMessage.mService);
  table.add_per_task(&perTask);
  table.add_expected_run_time_ms(aMessage.mExpectedRunTime.count());
  if (aMessage.mTimeToDeadline.has_value()) {
    table.add_time_to_deadline_ms(aMessage.mTimeToDeadline->count());
  }
  table.add_age_ms(aMessage.mAge.count());
  table.add_avoid(avoid);
  table.add_payload(payload);
  return table.Finish();
}

Offset<wire::CommitHold>
Write(FlatBufferBuilder& aBuilder, const protocol::CommitHold& aMessage)
{
  const wire::Route route = WriteRoute(aMessage.mRoute);
  const auto request = WriteText(aBuilder, aMessage.mRequest.mValue);
  return wire::CreateCommitHold(aBuilder, &route, request, aMessage.mAttempt);
}

Offset<wire::CancelTasks>
Write(FlatBufferBuilder& aBuilder, const protocol::CancelTasks& aMessage)
{
  const wire::Route route = WriteRoute(aMessage.mRoute);
  const auto tasks =
    WriteList(aBuilder, aMessage.mTasks, [&](const protocol::TaskKey& aTask) {
      return WriteTask(aBuilder, aTask);
    });
  return wire::CreateCancelTasks(
    aBuilder, &route, aMessage.mShardEpoch.mValue, tasks);
}

Offset<wire::UpdateAck>
Write(FlatBufferBuilder& aBuilder, const protocol::UpdateAck& aMessage)
{
  const wire::Route route = WriteRoute(aMessage.mRoute);
  const auto task = WriteTask(aBuilder, aMessage.mTask);
  return wire::CreateUpdateAck(aBuilder, &route, task);
}

Offset<wire::ReconcileQuery>
Write(FlatBufferBuilder& aBuilder, const protocol::ReconcileQuery& aMessage)
{
  const wire::Route route = WriteRoute(aMessage.mRoute);
  return wire::CreateReconcileQuery(aBuilder, &route);
}

Offset<wire::TaskUpdate>
Write(FlatBufferBuilder& aBuilder, const protocol::TaskUpdate& aMessage)
{
  const wire::Route route = WriteRoute(aMessage.mRoute);
  const auto task = WriteTask(aBuilder, aMessage.mTask);
  const auto worker = WriteText(aBuilder, aMessage.mWorker.mValue);
  const auto answer = WriteBytes(aBuilder, aMessage.mAnswer);
  wire::TaskUpdateBuilder table(aBuilder);
  table.add_route(&route);
  table.add_task(task);
  table.add_state(static_cast<std::uint8_t>(aMessage.mState));
  table.add_reason(static_cast<std::uint8_t>(aMessage.mReason));
  table.add_worker(worker);
  table.add_answer(answer);
  if (aMessage.mRetryAfter.has_value()) {
    table.add_retry_after_ms(aMessage.mRetryAfter->count());
  }
  return table.Finish();
}

Offset<wire::TasksHeld>
Write(FlatBufferBuilder& aBuilder, const protocol::TasksHeld& aMessage)
{
  const wire::Route route = WriteRoute(aMessage.mRoute);
  const auto request = WriteText(aBuilder, aMessage.mRequest.mValue);
  const auto indexes = WriteNumbers(aBuilder, aMessage.mIndexes);
  return wire::CreateTasksHeld(aBuilder,
                               &route,
                               request,
                               aMessage.mAttempt,
                               indexes,
                               aMessage.mHeldFor.count());
}

Offset<wire::ReconcileAnswer>
Write(FlatBufferBuilder& aBuilder, const protocol::ReconcileAnswer& aMessage)
{
  const wire::Route route = WriteRoute(aMessage.mRoute);
  const auto tasks =
    WriteList(aBuilder, aMessage.mTasks, [&](const protocol::HeldTask& aHeld) {
      return WriteHeld(aBuilder, aHeld);
    });
  return wire::CreateReconcileAnswer(
    aBuilder, &route, aMessage.mComplete, tasks);
}

} // namespace oriolevane::codec
