#include "placement/internal/scheduler.h"

#include <algorithm>
#include <chrono>

namespace oriolevane::placement {

namespace {

// Stale entries dropped in one pass, at most.
constexpr std::size_t kMostStale = 2048;
// Searches over all workers in one pass, at most.
constexpr std::size_t kMostSearches = 512;
// Tasks of one shape that are tried before the shape is skipped.
constexpr std::size_t kTriedPerShape = 8;
constexpr std::chrono::milliseconds kSearchAgainAfter{ 200 };

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
Scheduler::Pass(bool aIsTick)
{
  const bool hasChanged =
    mSeenFreed != mContext.mFreed.Count() || mSeenAdded != mQueue.AddedCount();
  const bool hasUrgent = mContext.mWaiting.back() > 0;
  const bool isDue =
    hasChanged || mHasMore || (aIsTick && (mHadIncomplete || hasUrgent));
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
    mHadIncomplete = false;
    mSeenFreed = mContext.mFreed.Count();
    mSeenAdded = mQueue.AddedCount();
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
  RunLane(level.mPressing, aLevel);
  mDecisions += mGangs.PlaceGangs(level, aLevel);
  RunTeams(aLevel);
}

void
Scheduler::RunLane(QueueLane& aLane, std::size_t aLevel)
{
  while (ShapeQueue* shape = aLane.Best(mPass)) {
    if (!SpendDecision()) {
      return;
    }
    TryShape(aLane, shape, aLevel);
  }
}

void
Scheduler::RunTeams(std::size_t aLevel)
{
  QueueLevel& level = mQueue.Level(aLevel);
  while (QueueLane* lane = NextTeam(level)) {
    if (!SpendDecision()) {
      return;
    }
    TryShape(*lane, lane->Best(mPass), aLevel);
  }
}

QueueLane*
Scheduler::NextTeam(QueueLevel& aLevel)
{
  QueueLane* best = nullptr;
  double bestShare = 0;
  for (auto team = aLevel.mActive.begin(); team != aLevel.mActive.end();) {
    QueueLane& lane = aLevel.mTeams[*team];
    if (lane.IsEmpty()) {
      team = aLevel.mActive.erase(team);
      continue;
    }
    const double share = mContext.mTeams.At(*team).mDominantShare;
    const bool isBetter = best == nullptr || share < bestShare;
    if (isBetter && lane.Best(mPass) != nullptr) {
      best = &lane;
      bestShare = share;
    }
    ++team;
  }
  return best;
}

bool
Scheduler::SpendDecision()
{
  if (mDecisions >= mContext.mOptions.mDecisionsPerCall ||
      mSearches >= kMostSearches || mStaleDropped >= kMostStale) {
    mHasMore = true;
    return false;
  }
  return true;
}

void
Scheduler::TryShape(QueueLane& aLane, ShapeQueue* aShape, std::size_t aLevel)
{
  std::size_t tried = 0;
  auto next = aShape->mEntries.begin();
  while (next != aShape->mEntries.end() && tried < kTriedPerShape) {
    const QueueEntry entry = *next;
    ++next;
    if (mQueue.IsStale(entry, aLevel)) {
      ++mStaleDropped;
      if (!aLane.Remove(aShape, entry) || mStaleDropped >= kMostStale) {
        return;
      }
      continue;
    }
    if (TryTask(entry.mAttempt.mIndex)) {
      ++mDecisions;
      aLane.Remove(aShape, entry);
      return;
    }
    ++tried;
  }
  aShape->mSkippedIn = mPass;
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
    mPreemptor.MakeRoom(aIndex);
    return false;
  }
  // Room that was made for it serves others now.
  mReservations.DropFor(attempt.mBatch->mMembers.front());
  mLifecycle.Start(aIndex);
  return true;
}

WorkerIndex
Scheduler::FindWorker(Attempt& aAttempt)
{
  const bool isDueForAll = aAttempt.mSearchAgainAt.has_value() &&
                           *aAttempt.mSearchAgainAt <= mContext.mNow;
  if (!aAttempt.mHasFailed || isDueForAll ||
      !mContext.mFreed.Reaches(aAttempt.mFailedAt)) {
    return SearchAll(aAttempt);
  }
  const std::uint64_t freed = mContext.mFreed.Count();
  if (aAttempt.mFailedAt == freed) {
    return kNoWorker;
  }
  const WorkerIndex worker =
    mPicker.PickAmongFreed(aAttempt, aAttempt.mFailedAt);
  aAttempt.mFailedAt = freed;
  return worker;
}

WorkerIndex
Scheduler::SearchAll(Attempt& aAttempt)
{
  const std::uint64_t freed = mContext.mFreed.Count();
  const bool isHopeless = std::any_of(
    mFailedNeeds.begin(), mFailedNeeds.end(), [&](const Resources& aFailed) {
      return aFailed.FitsIn(aAttempt.mResources);
    });
  if (!isHopeless) {
    ++mSearches;
    const PickResult result = mPicker.Pick(aAttempt);
    if (result.mWorker != kNoWorker) {
      return result.mWorker;
    }
    aAttempt.mSearchAgainAt.reset();
    if (!result.mComplete) {
      mHadIncomplete = true;
      aAttempt.mSearchAgainAt = mContext.mNow + kSearchAgainAfter;
    }
    if (result.mCapacityOnly) {
      mFailedNeeds.push_back(aAttempt.mResources);
    }
  }
  aAttempt.mHasFailed = true;
  aAttempt.mFailedAt = freed;
  return kNoWorker;
}

} // namespace oriolevane::placement
