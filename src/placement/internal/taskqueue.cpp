#include "placement/internal/taskqueue.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace oriolevane::placement {

namespace {

// A task that was raised once is raised again after this many aging steps.
constexpr int kSecondRaiseFactor = 10;

// Returns 0 for an amount of zero or below, and otherwise two classes per power
// of two.
std::uint64_t
SizeClass(std::int64_t aAmount)
{
  constexpr double kClassesPerPowerOfTwo = 2;
  return aAmount <= 0 ? 0
                      : 1 + static_cast<std::uint64_t>(
                              kClassesPerPowerOfTwo *
                              std::log2(static_cast<double>(aAmount)));
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
    attempt->mLevel = static_cast<std::uint8_t>(aBatch.mPlaceTasks.mUrgency);
    mContext.CountWaiting(*attempt, 1);
    UpdateNeedPerAccelerator(attempt->mResources);
    if (isFirst || !aBatch.IsGang()) {
      AddToLevel(ref, aBatch);
    }
    SetTimers(ref, aBatch);
    isFirst = false;
  }
}

void
TaskQueue::UpdateNeedPerAccelerator(const Resources& aNeed)
{
  if (aNeed.mAccelerators <= 0) {
    return;
  }
  // Weight of the latest need in the mean: one part in this many.
  constexpr std::int64_t kMeanDivisor = 16;
  const auto updateMean = [&aNeed](std::int64_t& aMean, std::int64_t aAmount) {
    const std::int64_t perAccelerator = aAmount / aNeed.mAccelerators;
    aMean = aMean == 0 ? perAccelerator
                       : aMean + (perAccelerator - aMean) / kMeanDivisor;
  };
  updateMean(mContext.mPerAccelerator.mMilliCores, aNeed.mMilliCores);
  updateMean(mContext.mPerAccelerator.mMemoryMiB, aNeed.mMemoryMiB);
  mContext.mPerAccelerator.mSlots = 1;
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
  // After the first raise the task competes by fair shares one level higher.
  // The second one comes much later, for tasks that would starve.
  mContext.mTimers.Add(mContext.mNow +
                         mContext.mOptions.mAgingStep * kSecondRaiseFactor,
                       TimerKind::Aging,
                       aRef.mIndex,
                       aRef.mGeneration);
}

void
TaskQueue::AddToNearDeadline(const AttemptRef& aRef)
{
  const Attempt* attempt = mContext.Resolve(aRef);
  if (attempt == nullptr || !attempt->IsWaiting() ||
      attempt->mBatch->IsGang()) {
    return;
  }
  const Batch& batch = *attempt->mBatch;
  mLevels[attempt->mLevel].mNearDeadline.Add(ShapeKeyOf(batch),
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
         mContext.mWorkloads.At(aBatch.mWorkload).LikelyMinRunTime();
}

std::size_t
TaskQueue::Waiting() const
{
  return std::accumulate(mContext.mWaitingByUrgency.begin(),
                         mContext.mWaitingByUrgency.end(),
                         std::size_t{ 0 });
}

std::uint64_t
TaskQueue::ShapeKeyOf(const Batch& aBatch)
{
  const Resources& need = aBatch.mPerTask;
  constexpr unsigned kBits = 16;
  std::uint64_t key = SizeClass(need.mMilliCores);
  key = (key << kBits) | SizeClass(need.mMemoryMiB);
  key = (key << kBits) | static_cast<std::uint16_t>(need.mAccelerators);
  return (key << kBits) | static_cast<std::uint16_t>(need.mSlots);
}

QueueEntry
TaskQueue::EntryFor(const AttemptRef& aRef, const Batch& aBatch)
{
  const WorkloadRecord& workload = mContext.mWorkloads.At(aBatch.mWorkload);
  const TimePoint tolerated =
    aBatch.mSubmitted + workload.mPolicy.mToleratedWait;
  return { .mStartBy =
             std::min(tolerated, LatestStart(aBatch).value_or(tolerated)),
           .mSequence = ++mAddedCount,
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
  level.mActiveTeams.insert(aBatch.mTeam);
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
    add(*latest - mContext.mOptions.mNearDeadlineWindow,
        TimerKind::NearDeadline);
    add(*latest, TimerKind::LatestStart);
  }
}

} // namespace oriolevane::placement
