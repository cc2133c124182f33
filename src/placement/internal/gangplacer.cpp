#include "placement/internal/gangplacer.h"

#include <algorithm>

namespace oriolevane::placement {

using protocol::TaskEndReason;
using protocol::TaskState;

namespace {

// Limits of one pass over the gangs of a level.
constexpr std::size_t kMaxGangsInspected = 64;
constexpr std::size_t kMaxGangsTried = 4;
// Delay before a gang that could not be placed is tried again.
constexpr std::chrono::milliseconds kGangRetryDelay{ 50 };
// Grace period of a reservation after its planned time: the planned length
// divided by kGraceDivisor, at least kMinGrace. After that the reservation
// ends, so that the next plan can use other workers.
constexpr int kGraceDivisor = 2;
constexpr std::chrono::seconds kMinGrace{ 5 };

Resources
Multiply(const Resources& aAmount, std::size_t aCount)
{
  const auto count = static_cast<std::int64_t>(aCount);
  return { .mMilliCores = aAmount.mMilliCores * count,
           .mMemoryMiB = aAmount.mMemoryMiB * count,
           .mAccelerators = aAmount.mAccelerators * count,
           .mSlots = aAmount.mSlots * count };
}

} // namespace

GangPlacer::GangPlacer(PlacerContext& aContext,
                       AttemptLifecycle& aLifecycle,
                       TaskQueue& aQueue,
                       WorkerPicker& aPicker,
                       Reservations& aReservations)
  : mContext(aContext)
  , mLifecycle(aLifecycle)
  , mQueue(aQueue)
  , mPicker(aPicker)
  , mReservations(aReservations)
  , mPlanner(aContext, aPicker)
{
}

std::size_t
GangPlacer::PlaceGangs(QueueLevel& aLevel, std::size_t aLevelNumber)
{
  std::size_t placed = 0;
  std::size_t tried = 0;
  std::size_t inspected = 0;
  for (auto entry = aLevel.mGangs.begin();
       entry != aLevel.mGangs.end() && inspected < kMaxGangsInspected &&
       tried < kMaxGangsTried;
       ++inspected) {
    if (mQueue.IsStale(*entry, aLevelNumber)) {
      entry = aLevel.mGangs.erase(entry);
      continue;
    }
    Batch& batch = *mContext.mAttempts.At(entry->mAttempt.mIndex).mBatch;
    if (batch.mNextTry > mContext.mNow) {
      ++entry;
      continue;
    }
    ++tried;
    const std::size_t count = TryGang(batch);
    placed += count;
    entry = count > 0 ? aLevel.mGangs.erase(entry) : std::next(entry);
  }
  return placed;
}

std::size_t
GangPlacer::TryGang(Batch& aBatch)
{
  const std::vector<AttemptIndex> members = WaitingMembers(aBatch);
  const Resources total = Multiply(aBatch.mPerTask, members.size());
  if (!mContext.mTeams.Allows(aBatch.mTeam, total)) {
    aBatch.mNextTry = mContext.mNow + kGangRetryDelay;
    return 0;
  }
  if (MayFit(aBatch, members.size()) && GrantAll(members)) {
    mReservations.ReleaseFor(aBatch.mMembers.front());
    if (aBatch.mPlaceTasks.mHold) {
      Hold(aBatch);
    } else {
      for (const AttemptIndex member : members) {
        mLifecycle.Start(member);
      }
    }
    return members.size();
  }
  aBatch.mNextTry = mContext.mNow + kGangRetryDelay;
  if (mReservations.Size() == 0) {
    ReserveFor(aBatch, members.size());
  }
  return 0;
}

bool
GangPlacer::GrantAll(const std::vector<AttemptIndex>& aMembers)
{
  for (std::size_t count = 0; count < aMembers.size(); ++count) {
    const PickResult result =
      mPicker.Pick(mContext.mAttempts.At(aMembers[count]));
    if (result.mWorker != kNoWorker &&
        mLifecycle.Grant(aMembers[count], result.mWorker)) {
      continue;
    }
    for (; count > 0; --count) {
      mLifecycle.Revoke(aMembers[count - 1]);
    }
    return false;
  }
  return true;
}

bool
GangPlacer::MayFit(const Batch& aBatch, std::size_t aCount) const
{
  return Multiply(aBatch.mPerTask, aCount)
    .FitsIn(mContext.mLedger.OpenTotal() - mContext.mLedger.OpenGranted());
}

void
GangPlacer::Hold(Batch& aBatch)
{
  aBatch.mHeldUntil = mContext.mNow + aBatch.mPlaceTasks.mHoldFor;
  // Each member gets a timer, because some members may end before the others.
  for (const AttemptRef& ref : aBatch.mMembers) {
    mContext.mTimers.Add(
      *aBatch.mHeldUntil, TimerKind::HoldExpiry, ref.mIndex, ref.mGeneration);
  }
  mContext.mOutbox.AddTrailNote(aBatch.mPlaceTasks.mRequest, "held");
  SendHeld(aBatch);
}

void
GangPlacer::SendHeld(const Batch& aBatch)
{
  protocol::TasksHeld held{ .mRoute = mContext.mOutbox.RouteTo(
                              aBatch.mPlaceTasks.mRoute.mPartition),
                            .mRequest = aBatch.mPlaceTasks.mRequest,
                            .mAttempt = aBatch.mPlaceTasks.mAttempt };
  for (const AttemptRef& ref : aBatch.mMembers) {
    const Attempt* attempt = mContext.Resolve(ref);
    if (attempt != nullptr && attempt->mState == TaskState::Queued &&
        attempt->mResourcesGranted) {
      held.mIndexes.push_back(attempt->mKey.mIndex);
    }
  }
  held.mHeldFor = std::chrono::duration_cast<std::chrono::milliseconds>(
    *aBatch.mHeldUntil - mContext.mNow);
  mContext.mOutbox.Send(std::move(held));
}

void
GangPlacer::Commit(Batch& aBatch)
{
  if (!aBatch.mHeldUntil.has_value()) {
    return;
  }
  if (*aBatch.mHeldUntil <= mContext.mNow) {
    ReleaseHold(aBatch);
    return;
  }
  aBatch.mHeldUntil.reset();
  for (const AttemptRef& ref : aBatch.mMembers) {
    const Attempt* attempt = mContext.Resolve(ref);
    if (attempt == nullptr || attempt->mState != TaskState::Queued ||
        !attempt->mResourcesGranted) {
      continue;
    }
    if (mContext.mWorkers.At(attempt->mWorker).TakesWork()) {
      mLifecycle.Start(ref.mIndex);
    } else {
      mLifecycle.Finish(
        ref.mIndex, TaskState::NotStarted, TaskEndReason::WorkerLost);
    }
  }
}

void
GangPlacer::ReleaseHold(Batch& aBatch)
{
  if (!aBatch.mHeldUntil.has_value()) {
    return;
  }
  aBatch.mHeldUntil.reset();
  for (const AttemptRef& ref : aBatch.mMembers) {
    const Attempt* attempt = mContext.Resolve(ref);
    if (attempt != nullptr && attempt->mState == TaskState::Queued) {
      mLifecycle.Finish(
        ref.mIndex, TaskState::NotStarted, TaskEndReason::HoldExpired);
    }
  }
}

void
GangPlacer::ReserveFor(const Batch& aBatch, std::size_t aCount)
{
  const GangPlanner::Result plan = mPlanner.Plan(aBatch, aCount);
  if (plan.mParts.empty()) {
    return;
  }
  const Duration length = plan.mReadyAt - mContext.mNow;
  const Duration grace = std::max<Duration>(length / kGraceDivisor, kMinGrace);
  mReservations.Add(
    aBatch.mMembers.front(), plan.mParts, plan.mReadyAt, plan.mReadyAt + grace);
  mContext.mOutbox.AddTrailNote(aBatch.mPlaceTasks.mRequest, "reserved");
}

std::vector<AttemptIndex>
GangPlacer::WaitingMembers(const Batch& aBatch) const
{
  std::vector<AttemptIndex> members;
  for (const AttemptRef& ref : aBatch.mMembers) {
    const Attempt* attempt = mContext.Resolve(ref);
    if (attempt != nullptr && attempt->IsWaiting()) {
      members.push_back(ref.mIndex);
    }
  }
  return members;
}

} // namespace oriolevane::placement
