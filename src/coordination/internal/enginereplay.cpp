// The snapshot of the durable state, and the replay of journal records.
#include <type_traits>
#include <utility>

#include <fmt/format.h>

#include "coordination/internal/cborfields.h"
#include "coordination/internal/engine.h"

namespace oriolevane::coordination::internal {

namespace {

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
    for (const auto& [index, task] : request->mDurableDispatches) {
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
                              mPendingRecords.Committed(),
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
    const bool cancelled = fields.Boolean();
    if (!fields.Complete() || mRequests.Find(spec.mId) != nullptr) {
      return BadSnapshot();
    }
    LiveRequest& request = mRequests.Add(std::move(spec), mNow);
    request.mAcceptedDurable = true;
    request.mRecovered = true;
    request.mCancelled = cancelled;
    request.mCancelDurable = cancelled;
    for (const DispatchedTask& task : dispatched) {
      request.mDurableDispatches.insert_or_assign(task.mIndex, task);
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
  mPendingRecords.StartAfter(committed);
  return absl::OkStatus();
}

absl::Status
Engine::Replay(std::string_view aRecord)
{
  const absl::StatusOr<NumberedRecord> record = DecodeRecord(aRecord);
  if (!record.ok()) {
    return record.status();
  }
  if (record->mSequence <= mPendingRecords.Committed()) {
    return absl::OkStatus();
  }
  if (record->mSequence != mPendingRecords.Committed() + 1) {
    return absl::DataLossError(fmt::format("record {} follows record {}",
                                           record->mSequence,
                                           mPendingRecords.Committed()));
  }
  if (absl::Status applied = Apply(*record); !applied.ok()) {
    return applied;
  }
  mPendingRecords.StartAfter(record->mSequence);
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
      request.mDurableDispatches.insert_or_assign(task.mIndex, task);
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
      aRequest.mDurableDispatches.insert_or_assign(task.mIndex, task);
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

} // namespace oriolevane::coordination::internal
