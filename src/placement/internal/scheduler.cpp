#include "placement/internal/scheduler.h"

#include <algorithm>

namespace oriolevane::placement {

namespace {

// Stale entries dropped in one pass, at most.
constexpr std::size_t kMostStale = 2048;

} // namespace

Scheduler::Scheduler(PlacerContext& aContext,
                     AttemptLifecycle& aLifecycle,
                     TaskQueue& aQueue,
                     WorkerPicker& aPicker,
                     GangPlacer& aGangs,
                     Preemptor& aPreemptor)
  : mContext(aContext)
  , mLifecycle(aLifecycle)
  , mQueue(aQueue)
  , mPicker(aPicker)
  , mGangs(aGangs)
  , mPreemptor(aPreemptor)
{
}

void
Scheduler::Pass()
{
  ++mPass;
  mDecisions = 0;
  mStaleDropped = 0;
  mHasMore = false;
  mFailedNeeds.clear();
  if (mQueue.Waiting() == 0 || mContext.mLedger.OpenCount() == 0) {
    return;
  }
  for (std::size_t level = protocol::kUrgencyLevels; level > 0; --level) {
    RunLevel(level - 1);
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
    TryHead(aLane, shape, aLevel);
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
    TryHead(*lane, lane->Best(mPass), aLevel);
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
      mStaleDropped >= kMostStale) {
    mHasMore = true;
    return false;
  }
  return true;
}

Scheduler::Trial
Scheduler::TryHead(QueueLane& aLane, ShapeQueue* aShape, std::size_t aLevel)
{
  const QueueEntry head = aShape->mEntries.top();
  if (mQueue.IsStale(head, aLevel)) {
    ++mStaleDropped;
    aLane.PopHead(aShape);
    return Trial::Stale;
  }
  const AttemptIndex index = head.mAttempt.mIndex;
  const Attempt& attempt = mContext.mAttempts.At(index);
  if (!mContext.mTeams.Allows(attempt.mBatch->mTeam, attempt.mResources)) {
    aShape->mSkippedIn = mPass;
    return Trial::Failed;
  }
  const WorkerIndex worker = FindWorker(*aShape, attempt);
  if (worker == kNoWorker || !mLifecycle.Grant(index, worker)) {
    aShape->mSkippedIn = mPass;
    mPreemptor.MakeRoom(index);
    return Trial::Failed;
  }
  ++mDecisions;
  aLane.PopHead(aShape);
  mLifecycle.Start(index);
  return Trial::Placed;
}

WorkerIndex
Scheduler::FindWorker(ShapeQueue& aShape, const Attempt& aAttempt)
{
  const std::uint64_t freed = mContext.mFreed.Count();
  if (aShape.mHasFailed && mContext.mFreed.Reaches(aShape.mFailedAt)) {
    const WorkerIndex worker =
      mPicker.PickAmongFreed(aAttempt, aShape.mFailedAt);
    if (worker == kNoWorker) {
      aShape.mFailedAt = freed;
    }
    return worker;
  }
  const bool isHopeless = std::any_of(
    mFailedNeeds.begin(), mFailedNeeds.end(), [&](const Resources& aFailed) {
      return aFailed.FitsIn(aAttempt.mResources);
    });
  if (isHopeless) {
    return kNoWorker;
  }
  const PickResult result = mPicker.Pick(aAttempt);
  aShape.mHasFailed = result.mWorker == kNoWorker && result.mComplete;
  aShape.mFailedAt = freed;
  if (result.mWorker == kNoWorker && result.mCapacityOnly) {
    mFailedNeeds.push_back(aAttempt.mResources);
  }
  return result.mWorker;
}

} // namespace oriolevane::placement
