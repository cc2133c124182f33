#include "placement/internal/taskqueue.h"

#include <algorithm>
#include <numeric>

#include "framework/stablehash.h"

namespace oriolevane::placement {

namespace {

std::uint64_t
HashOf(const Resources& aAmount)
{
  std::uint64_t hash = 0;
  for (const std::int64_t amount : { aAmount.mMilliCores,
                                     aAmount.mMemoryMiB,
                                     aAmount.mAccelerators,
                                     aAmount.mSlots }) {
    hash = CombineHash(hash, static_cast<std::uint64_t>(amount));
  }
  return hash;
}

} // namespace

void
TaskQueue::AddBatch(Batch& aBatch)
{
  bool isFirst = true;
  for (const AttemptRef& ref : aBatch.mMembers) {
    Attempt* attempt = mContext.Resolve(ref);
    if (attempt == nullptr || !attempt->IsWaiting()) {
      continue;
    }
    attempt->mLevel = static_cast<std::uint8_t>(aBatch.mOrder.mUrgency);
    ++mContext.mWaiting[attempt->mLevel];
    if (isFirst || !aBatch.IsGang()) {
      AddToLevel(ref, aBatch);
    }
    SetTimers(ref, aBatch);
    isFirst = false;
  }
}

void
TaskQueue::Raise(const AttemptRef& aRef)
{
  Attempt* attempt = mContext.Resolve(aRef);
  if (attempt == nullptr || !attempt->IsWaiting() ||
      attempt->mLevel + 1U >= mLevels.size()) {
    return;
  }
  ++attempt->mLevel;
  AddToLevel(aRef, *attempt->mBatch);
  mContext.mTimers.Add(mContext.mNow + mContext.mOptions.mAgingStep,
                       TimerKind::Aging,
                       aRef.mIndex,
                       aRef.mGeneration);
}

void
TaskQueue::Press(const AttemptRef& aRef)
{
  const Attempt* attempt = mContext.Resolve(aRef);
  if (attempt == nullptr || !attempt->IsWaiting() ||
      attempt->mBatch->IsGang()) {
    return;
  }
  const Batch& batch = *attempt->mBatch;
  mLevels[attempt->mLevel].mPressing.Add(ShapeKeyOf(batch),
                                         EntryFor(aRef, batch));
}

bool
TaskQueue::IsStale(const QueueEntry& aEntry, std::size_t aLevel) const
{
  const AttemptRef& ref = aEntry.mAttempt;
  if (!mContext.mAttempts.IsCurrent(ref.mIndex, ref.mGeneration)) {
    return true;
  }
  const Attempt& attempt = mContext.mAttempts.At(ref.mIndex);
  return !attempt.IsWaiting() || attempt.mLevel != aLevel;
}

std::optional<TimePoint>
TaskQueue::LatestStart(const Batch& aBatch) const
{
  if (!aBatch.mDeadline.has_value()) {
    return std::nullopt;
  }
  return *aBatch.mDeadline -
         mContext.mWorkloads.At(aBatch.mWorkload).LeastRunTime();
}

std::size_t
TaskQueue::Waiting() const
{
  return std::accumulate(
    mContext.mWaiting.begin(), mContext.mWaiting.end(), std::size_t{ 0 });
}

std::uint64_t
TaskQueue::ShapeKeyOf(const Batch& aBatch)
{
  std::uint64_t hash = CombineHash(HashOf(aBatch.mPerTask), aBatch.mWorkload);
  hash = CombineHash(hash, aBatch.mTeam);
  hash = CombineHash(hash, aBatch.mOrder.mNeverRepeat ? 1 : 0);
  for (const WorkerId& worker : aBatch.mOrder.mAvoid) {
    hash = CombineHash(hash, StableHash(worker.mValue));
  }
  return hash;
}

QueueEntry
TaskQueue::EntryFor(const AttemptRef& aRef, const Batch& aBatch)
{
  const WorkloadRecord& workload = mContext.mWorkloads.At(aBatch.mWorkload);
  const TimePoint tolerated =
    aBatch.mSubmitted + workload.mPolicy.mToleratedWait;
  return { .mStartBy =
             std::min(tolerated, LatestStart(aBatch).value_or(tolerated)),
           .mNumber = ++mNumber,
           .mAttempt = aRef };
}

void
TaskQueue::AddToLevel(const AttemptRef& aRef, const Batch& aBatch)
{
  QueueLevel& level = mLevels[mContext.mAttempts.At(aRef.mIndex).mLevel];
  const QueueEntry entry = EntryFor(aRef, aBatch);
  if (aBatch.IsGang()) {
    level.mGangs.insert(entry);
    return;
  }
  if (aBatch.mTeam >= level.mTeams.size()) {
    level.mTeams.resize(aBatch.mTeam + 1);
  }
  level.mTeams[aBatch.mTeam].Add(ShapeKeyOf(aBatch), entry);
  level.mActive.insert(aBatch.mTeam);
}

void
TaskQueue::SetTimers(const AttemptRef& aRef, const Batch& aBatch)
{
  const auto add = [&](TimePoint aDue, TimerKind aKind) {
    mContext.mTimers.Add(aDue, aKind, aRef.mIndex, aRef.mGeneration);
  };
  add(aBatch.mSubmitted + mContext.mOptions.mAgingStep, TimerKind::Aging);
  const std::optional<TimePoint> latest = LatestStart(aBatch);
  if (latest.has_value()) {
    add(*latest - mContext.mOptions.mPressingBefore, TimerKind::Pressing);
    add(*latest, TimerKind::LatestStart);
  }
}

} // namespace oriolevane::placement
