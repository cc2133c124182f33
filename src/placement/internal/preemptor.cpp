#include "placement/internal/preemptor.h"

#include <algorithm>

namespace oriolevane::placement {

using protocol::TaskEndReason;
using protocol::TaskState;

namespace {

// Workers inspected for one attempt.
constexpr std::size_t kSampledWorkers = 64;
// Number of existing reservations from which on nothing more is preempted.
constexpr std::size_t kMaxReservations = 64;
// How long the capacity stays reserved after the stop order.
constexpr std::chrono::seconds kReservationLifetime{ 15 };

} // namespace

Preemptor::Preemptor(PlacerContext& aContext,
                     AttemptLifecycle& aLifecycle,
                     Reservations& aReservations)
  : mContext(aContext)
  , mLifecycle(aLifecycle)
  , mReservations(aReservations)
{
}

void
Preemptor::PreemptFor(AttemptIndex aIndex)
{
  const Attempt& attempt = mContext.mAttempts.At(aIndex);
  const AttemptRef& owner = attempt.mBatch->mMembers.front();
  if (attempt.mBatch->mPlaceTasks.mUrgency != protocol::Urgency::Urgent ||
      mReservations.Size() >= kMaxReservations || mReservations.HasFor(owner)) {
    return;
  }
  const Victims victims = FindVictims(attempt);
  if (victims.mWorker == kNoWorker) {
    return;
  }
  const TimePoint expiresAt = mContext.mNow + kReservationLifetime;
  mReservations.Add(
    owner,
    { { .mWorker = victims.mWorker, .mAmount = attempt.mResources } },
    mContext.mNow,
    expiresAt);
  for (const AttemptIndex victim : victims.mAttempts) {
    mContext.mOutbox.AddTrailNote(mContext.mAttempts.At(victim).mKey.mRequest,
                                  "preempted",
                                  "for request " +
                                    attempt.mKey.mRequest.mValue);
    mLifecycle.OrderStop(victim, TaskEndReason::Preempted, true);
  }
}

Preemptor::Victims
Preemptor::FindVictims(const Attempt& aAttempt)
{
  Victims best;
  const std::size_t slots = mContext.mWorkers.SlotCount();
  const std::size_t first = mContext.mRandom() % slots;
  const std::size_t sample = std::min(slots, kSampledWorkers);
  for (std::size_t step = 0; step < sample; ++step) {
    const auto worker = static_cast<WorkerIndex>((first + step) % slots);
    std::optional<Victims> victims = FindVictimsOn(worker, aAttempt);
    const bool isBetter = victims.has_value() &&
                          (best.mWorker == kNoWorker ||
                           victims->mAttempts.size() < best.mAttempts.size());
    if (isBetter) {
      best = std::move(*victims);
    }
  }
  return best;
}

std::optional<Preemptor::Victims>
Preemptor::FindVictimsOn(WorkerIndex aWorker, const Attempt& aAttempt) const
{
  const LedgerEntry& entry = mContext.mLedger.At(aWorker);
  const WorkerRecord& worker = mContext.mWorkers.At(aWorker);
  const std::vector<WorkerId>& avoid = aAttempt.mBatch->mPlaceTasks.mAvoid;
  const bool isAvoided =
    std::find(avoid.begin(), avoid.end(), worker.mInfo.mWorker) != avoid.end();
  if (!entry.mOpen || isAvoided || worker.mReservation.mReservationId != 0) {
    return std::nullopt;
  }
  Victims victims{ .mWorker = aWorker };
  Resources room = entry.Free();
  for (const AttemptIndex index : worker.mAttempts) {
    if (aAttempt.mResources.FitsIn(room)) {
      break;
    }
    const Attempt& candidate = mContext.mAttempts.At(index);
    if (MayPreempt(candidate)) {
      room += candidate.mResources;
      victims.mAttempts.push_back(index);
    }
  }
  if (victims.mAttempts.empty() || !aAttempt.mResources.FitsIn(room)) {
    return std::nullopt;
  }
  return victims;
}

bool
Preemptor::MayPreempt(const Attempt& aAttempt) const
{
  if (aAttempt.mState != TaskState::Running || aAttempt.mBatch == nullptr ||
      aAttempt.mStopReason != TaskEndReason::None) {
    return false;
  }
  const protocol::PlaceTasks& order = aAttempt.mBatch->mPlaceTasks;
  return order.mUrgency != protocol::Urgency::Urgent && !order.mNeverRepeat &&
         !aAttempt.mBatch->IsGang() &&
         mContext.mWorkloads.At(aAttempt.mBatch->mWorkload)
           .mPolicy.mPreemptible;
}

} // namespace oriolevane::placement
