#include <algorithm>
#include <type_traits>
#include <utility>

#include <fmt/format.h>

#include "coordination/internal/cborfields.h"
#include "coordination/internal/engine.h"

namespace oriolevane::coordination::internal {

namespace {

using protocol::TaskState;

constexpr std::uint64_t kSnapshotVersion = 1;

absl::Status
BadSnapshot()
{
  return absl::DataLossError("not a snapshot of a request partition");
}

} // namespace

std::string
Engine::Snapshot() const
{
  Json live = Json::array();
  for (const LiveRequest* request : mRequests.Sorted()) {
    if (!request->mAcceptedDurable) {
      continue;
    }
    std::vector<DispatchedTask> dispatched;
    for (const auto& [index, task] : request->mDispatchedDurable) {
      dispatched.push_back(task);
    }
    live.push_back(Json::array({ SpecToJson(request->mSpec),
                                 DispatchedToJson(dispatched),
                                 request->mCancelDurable }));
  }
  Json outcomes = Json::array();
  for (const RecordedOutcome* outcome : mOutcomes.Sorted()) {
    outcomes.push_back(Json::array({ outcome->mSequence,
                                     outcome->mSpecDigest,
                                     StatusToJson(outcome->mStatus) }));
  }
  return ToCbor(Json::array({ kSnapshotVersion,
                              mPending.Committed(),
                              std::move(live),
                              std::move(outcomes) }));
}

absl::Status
Engine::Restore(std::string_view aSnapshot)
{
  const Json json = FromCbor(aSnapshot);
  FieldReader reader(json);
  if (reader.Unsigned(kSnapshotVersion) != kSnapshotVersion) {
    return BadSnapshot();
  }
  const auto committed = reader.Integer<std::uint64_t>();
  for (const Json& element : reader.Array()) {
    FieldReader fields(element);
    protocol::RequestSpec spec = ReadSpec(fields);
    const std::vector<DispatchedTask> dispatched = ReadDispatched(fields);
    const bool cancelled = fields.Flag();
    if (!fields.Complete() || mRequests.Find(spec.mId) != nullptr) {
      return BadSnapshot();
    }
    LiveRequest& request = mRequests.Add(std::move(spec), mNow);
    request.mAcceptedDurable = true;
    request.mRecovered = true;
    request.mCancelled = cancelled;
    request.mCancelDurable = cancelled;
    for (const DispatchedTask& task : dispatched) {
      request.mDispatchedDurable.insert_or_assign(task.mIndex, task);
    }
  }
  for (const Json& element : reader.Array()) {
    FieldReader fields(element);
    RecordedOutcome outcome;
    outcome.mSequence = fields.Integer<std::uint64_t>();
    outcome.mSpecDigest = fields.Integer<std::uint64_t>();
    outcome.mStatus = ReadStatus(fields);
    if (!fields.Complete() || mOutcomes.Find(outcome.mStatus.mId) != nullptr) {
      return BadSnapshot();
    }
    mOutcomes.Add(std::move(outcome));
  }
  if (!reader.Complete()) {
    return BadSnapshot();
  }
  mPending.StartAfter(committed);
  return absl::OkStatus();
}

absl::Status
Engine::Replay(std::string_view aRecord)
{
  const absl::StatusOr<NumberedRecord> record = DecodeRecord(aRecord);
  if (!record.ok()) {
    return record.status();
  }
  if (record->mSequence <= mPending.Committed()) {
    return absl::OkStatus();
  }
  if (record->mSequence != mPending.Committed() + 1) {
    return absl::DataLossError(fmt::format(
      "record {} follows record {}", record->mSequence, mPending.Committed()));
  }
  if (absl::Status applied = Apply(*record); !applied.ok()) {
    return applied;
  }
  mPending.StartAfter(record->mSequence);
  return absl::OkStatus();
}

absl::Status
Engine::Apply(const NumberedRecord& aRecord)
{
  if (std::holds_alternative<VoidRecord>(aRecord.mRecord)) {
    return absl::OkStatus();
  }
  if (const auto* forgotten = std::get_if<ForgottenRecord>(&aRecord.mRecord)) {
    mOutcomes.Forget(forgotten->mUpTo);
    return absl::OkStatus();
  }
  if (const auto* accepted = std::get_if<AcceptedRecord>(&aRecord.mRecord)) {
    const RequestId& id = accepted->mSpec.mId;
    if (mRequests.Find(id) != nullptr || mOutcomes.Find(id) != nullptr) {
      return absl::DataLossError(fmt::format("'{}' is accepted twice", id));
    }
    LiveRequest& request = mRequests.Add(accepted->mSpec, mNow);
    request.mAcceptedDurable = true;
    request.mRecovered = true;
    for (const DispatchedTask& task : accepted->mTasks) {
      request.mDispatchedDurable.insert_or_assign(task.mIndex, task);
    }
    return absl::OkStatus();
  }
  const RequestId& id = std::visit(
    [](const auto& aBody) -> const RequestId& {
      static const RequestId kNone;
      using Body = std::decay_t<decltype(aBody)>;
      if constexpr (std::is_same_v<Body, DispatchedRecord> ||
                    std::is_same_v<Body, CancelledRecord>) {
        return aBody.mId;
      } else if constexpr (std::is_same_v<Body, FinishedRecord>) {
        return aBody.mStatus.mId;
      } else {
        return kNone;
      }
    },
    aRecord.mRecord);
  LiveRequest* request = mRequests.Find(id);
  if (request == nullptr) {
    return absl::DataLossError(fmt::format("'{}' was never accepted", id));
  }
  return ApplyTo(*request, aRecord);
}

absl::Status
Engine::ApplyTo(LiveRequest& aRequest, const NumberedRecord& aRecord)
{
  if (const auto* sent = std::get_if<DispatchedRecord>(&aRecord.mRecord)) {
    for (const DispatchedTask& task : sent->mTasks) {
      if (task.mIndex >= aRequest.mSlots.size()) {
        return absl::DataLossError("a task beyond the request's last");
      }
      aRequest.mDispatchedDurable.insert_or_assign(task.mIndex, task);
    }
  } else if (std::holds_alternative<CancelledRecord>(aRecord.mRecord)) {
    aRequest.mCancelled = true;
    aRequest.mCancelDurable = true;
  } else {
    const auto& finished = std::get<FinishedRecord>(aRecord.mRecord);
    mOutcomes.Add({ .mStatus = finished.mStatus,
                    .mSpecDigest = SpecDigest(aRequest.mSpec),
                    .mSequence = aRecord.mSequence });
    mRequests.Remove(finished.mStatus.mId);
  }
  return absl::OkStatus();
}

std::vector<CoordinatorAction>
Engine::BeginServing(TimePoint aNow)
{
  mNow = aNow;
  mBegun = true;
  mOutcomes.StartRetention(aNow);
  for (const auto& [id, request] : mRequests.Requests()) {
    request->mSubmitted = aNow;
    if (request->mSpec.mDeadline) {
      request->mDeadlineAt = aNow + *request->mSpec.mDeadline;
    }
    Note(*request, TrailEvent::Recovered, {});
    mRequests.Reschedule(*request);
  }
  AskShards();
  return std::exchange(mActions, {});
}

void
Engine::AskShards()
{
  mAskShardsAt = mNow + mOptions.mResendAfter;
  for (std::uint32_t shard = 0; mBegun && shard < mRouter.ShardCount();
       ++shard) {
    if (!mRouter.View(ShardId(shard)).mReconciled) {
      Send(ShardId(shard), protocol::ReconcileQuery{});
    }
  }
}

// False for a message from a fenced placer. A new placer is asked what it holds
// before anything is concluded about what its predecessor was sent.
bool
Engine::ObserveEpoch(ShardId aShard, Epoch aEpoch)
{
  if (!mRouter.Exists(aShard) || aEpoch < mRouter.View(aShard).mEpoch) {
    return false;
  }
  ShardView& view = mRouter.View(aShard);
  if (view.mEpoch < aEpoch) {
    view.mEpoch = aEpoch;
    view.mReconciled = false;
    view.mDeducted = {};
    if (mBegun) {
      Send(aShard, protocol::ReconcileQuery{});
    }
  }
  return true;
}

void
Engine::On(const protocol::ReconcileAnswer& aEvent)
{
  const ShardId shard = aEvent.mRoute.mShard;
  const Epoch epoch = aEvent.mRoute.mSenderEpoch;
  if (!ObserveEpoch(shard, epoch) || mRouter.View(shard).mReconciled) {
    return;
  }
  for (const protocol::HeldTask& held : aEvent.mTasks) {
    TakeHeld(held, shard, epoch);
  }
  if (!aEvent.mComplete) {
    return;
  }
  mRouter.View(shard).mReconciled = true;
  SweepShard(shard);
  if (mServing) {
    return;
  }
  for (std::uint32_t other = 0; other < mRouter.ShardCount(); ++other) {
    if (!mRouter.View(ShardId(other)).mReconciled) {
      return;
    }
  }
  BecomeServing();
}

void
Engine::TakeHeld(const protocol::HeldTask& aHeld, ShardId aShard, Epoch aEpoch)
{
  LiveRequest* request = mRequests.Find(aHeld.mTask.mRequest);
  if (request == nullptr || aHeld.mTask.mIndex >= request->mSlots.size()) {
    if (mOutcomes.Find(aHeld.mTask.mRequest) == nullptr) {
      AddOrphan(aHeld.mTask, aShard, aEpoch);
    }
    return;
  }
  TaskSlot& slot = request->mSlots[aHeld.mTask.mIndex];
  if (mServing) {
    const bool known =
      slot.mAttempt == aHeld.mTask.mAttempt && slot.mShard == aShard &&
      slot.mPlacerEpoch < aEpoch &&
      (slot.mPhase == SlotPhase::Sent || slot.mPhase == SlotPhase::Held ||
       slot.mPhase == SlotPhase::Out);
    if (known) {
      Adopt(slot, aHeld, aShard, aEpoch);
    }
  } else if (slot.mAttempt <= aHeld.mTask.mAttempt) {
    Adopt(slot, aHeld, aShard, aEpoch);
  }
}

// The answer of an ended attempt comes with its own update; until then it
// counts as running.
void
Engine::Adopt(TaskSlot& aSlot,
              const protocol::HeldTask& aHeld,
              ShardId aShard,
              Epoch aEpoch)
{
  aSlot.mPhase = SlotPhase::Out;
  aSlot.mState = IsFinal(aHeld.mState) ? TaskState::Running : aHeld.mState;
  aSlot.mAttempt = aHeld.mTask.mAttempt;
  aSlot.mShard = aShard;
  aSlot.mPlacerEpoch = aEpoch;
  aSlot.mWorker = aHeld.mWorker;
  aSlot.mSends = std::max<std::uint8_t>(aSlot.mSends, 1);
}

// What the shard's placer did not list is over. Whether it ran is not known.
void
Engine::SweepShard(ShardId aShard)
{
  const Epoch epoch = mRouter.View(aShard).mEpoch;
  mOrphans.Sweep(aShard, epoch);
  std::vector<LiveRequest*> requests;
  for (const auto& [id, request] : mRequests.Requests()) {
    const bool touched =
      std::any_of(request->mSlots.begin(),
                  request->mSlots.end(),
                  [&](const TaskSlot& aSlot) {
                    return aSlot.mShard == aShard && aSlot.mPlacerEpoch < epoch;
                  });
    if (touched) {
      requests.push_back(request.get());
    }
  }
  std::sort(requests.begin(),
            requests.end(),
            [](const LiveRequest* aLeft, const LiveRequest* aRight) {
              return aLeft->mSpec.mId < aRight->mSpec.mId;
            });
  for (LiveRequest* request : requests) {
    SweepRequest(*request, aShard, epoch);
  }
}

void
Engine::SweepRequest(LiveRequest& aRequest, ShardId aShard, Epoch aEpoch)
{
  for (std::uint32_t index = 0; index < aRequest.mSlots.size(); ++index) {
    TaskSlot& slot = aRequest.mSlots[index];
    const bool out = slot.mPhase == SlotPhase::Sent ||
                     slot.mPhase == SlotPhase::Held ||
                     slot.mPhase == SlotPhase::Out;
    if (!out || slot.mShard != aShard || !(slot.mPlacerEpoch < aEpoch)) {
      continue;
    }
    if (!mServing) {
      slot.mPhase = SlotPhase::Waiting;
      aRequest.mMayHaveRun = true;
      continue;
    }
    Note(aRequest, TrailEvent::ShardTakenOver, fmt::format("{}", aShard));
    EndAttempt(aRequest,
               { .mRoute = { .mShard = aShard, .mSenderEpoch = aEpoch },
                 .mTask = { .mRequest = aRequest.mSpec.mId,
                            .mIndex = index,
                            .mAttempt = slot.mAttempt },
                 .mState = TaskState::Lost,
                 .mReason = protocol::TaskEndReason::WorkerLost,
                 .mWorker = slot.mWorker });
  }
  mRequests.Reschedule(aRequest);
}

void
Engine::BecomeServing()
{
  mServing = true;
  for (const LiveRequest* request : mRequests.Sorted()) {
    ResumeRequest(*mRequests.Find(request->mSpec.mId));
  }
}

// Attempts that no shard holds are over. Those of a never-repeat request are
// recorded, so it is known which may have run; those of a repeatable one are
// not recorded, so any may.
void
Engine::ResumeRequest(LiveRequest& aRequest)
{
  bool someOut = false;
  bool someLost = false;
  aRequest.mMayHaveRun = aRequest.mMayHaveRun || !aRequest.mSpec.mNeverRepeat;
  for (std::uint32_t index = 0; index < aRequest.mSlots.size(); ++index) {
    TaskSlot& slot = aRequest.mSlots[index];
    if (slot.mPhase == SlotPhase::Out) {
      someOut = true;
    } else if (aRequest.mDispatchedDurable.contains(index)) {
      CloseSlot(aRequest, slot, TaskState::Lost);
      someLost = true;
    }
  }
  const bool someWait = std::any_of(
    aRequest.mSlots.begin(), aRequest.mSlots.end(), [](const TaskSlot& aSlot) {
      return aSlot.mPhase == SlotPhase::Waiting;
    });
  const bool brokenGang =
    aRequest.IsGang() && ((someOut && someWait) || someLost);
  if (aRequest.mCancelled || brokenGang) {
    WithdrawSlots(aRequest);
  } else {
    FinishIfDone(aRequest);
  }
  if (!aRequest.mFinished) {
    aRequest.mDispatchAt = someWait ? mNow : TimePoint::max();
    mRequests.Reschedule(aRequest);
  }
}

void
Engine::AddOrphan(const protocol::TaskKey& aTask, ShardId aShard, Epoch aEpoch)
{
  if (mOrphans.Add(aTask, aShard, aEpoch) && mServing) {
    Send(aShard, protocol::CancelTasks{ .mTasks = { aTask } });
  }
}

} // namespace oriolevane::coordination::internal
