#include "placement/internal/scheduler.h"

#include <algorithm>
#include <chrono>

namespace oriolevane::placement {

namespace {

// Maximum of stale entries removed in one pass.
constexpr std::size_t kMaxStalePerPass = 2048;
// Maximum of searches over all workers in one pass.
constexpr std::size_t kMaxSearchesPerPass = 512;
// Tasks of one shape that are tried before the shape is skipped in a pass.
constexpr std::size_t kMaxTriedPerShape = 8;
// Delay before all workers are searched again for a task whose last search was
// incomplete.
constexpr std::chrono::milliseconds kSearchRetryDelay{ 200 };

} // namespace

Scheduler::Scheduler(PlacerContext& aContext,
                     AttemptLifecycle& aLifecycle,
                     TaskQueue& aQueue,
                     WorkerPicker& aPicker,
                     GangPlacer& aGangs,
                     Preemptor& aPreemptor,
                     Reservations& aReservations)
  : mContext(aContext)
  , mLifecycle(aLifecycle)
  , mQueue(aQueue)
  , mPicker(aPicker)
  , mGangs(aGangs)
  , mPreemptor(aPreemptor)
  , mReservations(aReservations)
{
}

void
Scheduler::RunPass(bool aIsTick)
{
  const bool hasChanged =
    mSeenFreedChange != mContext.mFreedWorkers.ChangeNumber() ||
    mSeenAddedCount != mQueue.AddedCount();
  const bool hasUrgent = mContext.mWaitingByUrgency.back() > 0;
  const bool isDue =
    hasChanged || mHasMore || (aIsTick && (mHadIncompleteSearch || hasUrgent));
  mHasMore = false;
  if (mQueue.Waiting() == 0 || mContext.mLedger.OpenCount() == 0) {
    return;
  }
  ++mPass;
  mDecisions = 0;
  mSearches = 0;
  mStaleDropped = 0;
  mFailedNeeds.clear();
  if (isDue) {
    mHadIncompleteSearch = false;
    mSeenFreedChange = mContext.mFreedWorkers.ChangeNumber();
    mSeenAddedCount = mQueue.AddedCount();
  }
  for (std::size_t level = protocol::kUrgencyLevels; level > 0; --level) {
    if (isDue) {
      RunLevel(level - 1);
    } else if (aIsTick) {
      mDecisions += mGangs.PlaceGangs(mQueue.Level(level - 1), level - 1);
    }
  }
}

void
Scheduler::RunLevel(std::size_t aLevel)
{
  QueueLevel& level = mQueue.Level(aLevel);
  RunShapes(level.mNearDeadline, aLevel);
  mDecisions += mGangs.PlaceGangs(level, aLevel);
  RunTeams(aLevel);
}

void
Scheduler::RunShapes(ShapeQueueSet& aQueues, std::size_t aLevel)
{
  while (ShapeQueue* shape = aQueues.NextQueue(mPass)) {
    if (!IsWithinLimits()) {
      return;
    }
    TryShape(aQueues, shape, aLevel);
  }
}

void
Scheduler::RunTeams(std::size_t aLevel)
{
  QueueLevel& level = mQueue.Level(aLevel);
  while (ShapeQueueSet* queues = NextTeam(level)) {
    if (!IsWithinLimits()) {
      return;
    }
    TryShape(*queues, queues->NextQueue(mPass), aLevel);
  }
}

ShapeQueueSet*
Scheduler::NextTeam(QueueLevel& aLevel)
{
  ShapeQueueSet* best = nullptr;
  double bestShare = 0;
  for (auto team = aLevel.mActiveTeams.begin();
       team != aLevel.mActiveTeams.end();) {
    ShapeQueueSet& queues = aLevel.mTeams[*team];
    if (queues.IsEmpty()) {
      team = aLevel.mActiveTeams.erase(team);
      continue;
    }
    const double share = mContext.mTeams.At(*team).mDominantShare;
    const bool isBetter = best == nullptr || share < bestShare;
    if (isBetter && queues.NextQueue(mPass) != nullptr) {
      best = &queues;
      bestShare = share;
    }
    ++team;
  }
  return best;
}

bool
Scheduler::IsWithinLimits()
{
  if (mDecisions >= mContext.mOptions.mMaxDecisionsPerCall ||
      mSearches >= kMaxSearchesPerPass || mStaleDropped >= kMaxStalePerPass) {
    mHasMore = true;
    return false;
  }
  return true;
}

void
Scheduler::TryShape(ShapeQueueSet& aQueues,
                    ShapeQueue* aShape,
                    std::size_t aLevel)
{
  std::size_t tried = 0;
  auto next = aShape->mEntries.begin();
  while (next != aShape->mEntries.end() && tried < kMaxTriedPerShape) {
    const QueueEntry entry = *next;
    ++next;
    if (mQueue.IsStale(entry, aLevel)) {
      ++mStaleDropped;
      if (!aQueues.Remove(aShape, entry) || mStaleDropped >= kMaxStalePerPass) {
        return;
      }
      continue;
    }
    if (TryTask(entry.mAttempt.mIndex)) {
      ++mDecisions;
      aQueues.Remove(aShape, entry);
      return;
    }
    ++tried;
  }
  aShape->mSkippedInPass = mPass;
}

bool
Scheduler::TryTask(AttemptIndex aIndex)
{
  Attempt& attempt = mContext.mAttempts.At(aIndex);
  if (!mContext.mTeams.Allows(attempt.mBatch->mTeam, attempt.mResources)) {
    return false;
  }
  const WorkerIndex worker = FindWorker(attempt);
  if (worker == kNoWorker || !mLifecycle.Grant(aIndex, worker)) {
    mPreemptor.PreemptFor(aIndex);
    return false;
  }
  // The task no longer needs the room that was reserved for its batch.
  mReservations.ReleaseFor(attempt.mBatch->mMembers.front());
  mLifecycle.Start(aIndex);
  return true;
}

WorkerIndex
Scheduler::FindWorker(Attempt& aAttempt)
{
  const bool isFullSearchDue = aAttempt.mSearchAgainAt.has_value() &&
                               *aAttempt.mSearchAgainAt <= mContext.mNow;
  if (!aAttempt.mHasFailedSearch || isFullSearchDue ||
      !mContext.mFreedWorkers.HasAllSince(aAttempt.mCheckedChange)) {
    return SearchAll(aAttempt);
  }
  const std::uint64_t changeNumber = mContext.mFreedWorkers.ChangeNumber();
  if (aAttempt.mCheckedChange == changeNumber) {
    return kNoWorker;
  }
  const WorkerIndex worker =
    mPicker.PickAmongFreed(aAttempt, aAttempt.mCheckedChange);
  aAttempt.mCheckedChange = changeNumber;
  return worker;
}

WorkerIndex
Scheduler::SearchAll(Attempt& aAttempt)
{
  const std::uint64_t changeNumber = mContext.mFreedWorkers.ChangeNumber();
  const bool isKnownNotToFit = std::any_of(
    mFailedNeeds.begin(), mFailedNeeds.end(), [&](const Resources& aFailed) {
      return aFailed.FitsIn(aAttempt.mResources);
    });
  if (!isKnownNotToFit) {
    ++mSearches;
    const PickResult result = mPicker.Pick(aAttempt);
    if (result.mWorker != kNoWorker) {
      return result.mWorker;
    }
    aAttempt.mSearchAgainAt.reset();
    if (!result.mComplete) {
      mHadIncompleteSearch = true;
      aAttempt.mSearchAgainAt = mContext.mNow + kSearchRetryDelay;
    }
    if (result.mLackedOnlyCapacity) {
      mFailedNeeds.push_back(aAttempt.mResources);
    }
  }
  aAttempt.mHasFailedSearch = true;
  aAttempt.mCheckedChange = changeNumber;
  return kNoWorker;
}

} // namespace oriolevane::placement
