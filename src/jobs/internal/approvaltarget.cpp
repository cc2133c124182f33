#include "jobs/internal/approvaltarget.h"

#include <algorithm>
#include <cmath>

#include "jobs/internal/advicescore.h"

namespace oriolevane::jobs {

namespace {

using namespace std::chrono_literals;

constexpr double kMinTargetApprovals = 10.0;
// Once a step has found no room on its approved workers for the first time, the
// target is raised by its own amount again each time the second time passes.
constexpr std::chrono::milliseconds kNoRoomTolerance = 1000ms;
constexpr std::chrono::milliseconds kTargetRaiseInterval = 1000ms;
// The factor by which the target of a gang is raised. It is high enough that
// its next query follows at once.
constexpr std::size_t kGangTargetRaise = 3;
// The share of approvals that is assumed until the first answer for a queue.
constexpr double kDefaultApprovalShare = 0.4;
constexpr double kMinApprovalShare = 0.1;
constexpr double kApprovalShareWeight = 0.05;

// The number of tasks that an empty worker holds.
std::int64_t
TasksPerWorker(const Resources& aCapacity, const Resources& aTask)
{
  const auto fits = [](std::int64_t aAvailable, std::int64_t aPerTask) {
    return aPerTask <= 0 ? std::int64_t{ 1000 } : aAvailable / aPerTask;
  };
  return std::min(fits(aCapacity.mMilliCores, aTask.mMilliCores),
                  fits(aCapacity.mMemoryMiB, aTask.mMemoryMiB));
}

// True when the step has found no room on its approved workers for longer than
// usual.
bool
HasFoundNoRoom(const Step& aStep, TimePoint aNow)
{
  return aStep.mNoRoomSince.has_value() &&
         *aStep.mNoRoomSince + kNoRoomTolerance <= aNow;
}

} // namespace

std::size_t
CountApproved(const Step& aStep, const StepSpec& aSpec)
{
  const std::vector<Approval>& approved = aStep.mAdvice.mApproved;
  return std::count_if(
    approved.begin(), approved.end(), [&aSpec](const Approval& aApproval) {
      return HoldsTask(*aApproval.mWorker, aSpec);
    });
}

void
ApprovalTarget::SetUsableWorkers(const std::vector<Worker*>& aUsable)
{
  mUsableInPool.clear();
  for (const Worker* worker : aUsable) {
    const Resources& capacity = worker->mEntry.mCapacity;
    PoolWorkers& pool = mUsableInPool[worker->mEntry.mPool];
    ++pool.mCount;
    ++pool.mCapacities[{ capacity.mMilliCores, capacity.mMemoryMiB }];
  }
}

std::size_t
ApprovalTarget::UsableInPool(const PoolName& aPool) const
{
  const auto pool = mUsableInPool.find(aPool);
  return pool == mUsableInPool.end() ? 0 : pool->second.mCount;
}

double
ApprovalTarget::MeanTasksPerWorker(const PoolName& aPool,
                                   const Resources& aTask) const
{
  const auto pool = mUsableInPool.find(aPool);
  if (pool == mUsableInPool.end()) {
    return 1.0;
  }
  std::int64_t workers = 0;
  std::int64_t tasks = 0;
  for (const auto& [capacity, count] : pool->second.mCapacities) {
    const std::int64_t perWorker = TasksPerWorker(
      { .mMilliCores = capacity.first, .mMemoryMiB = capacity.second }, aTask);
    if (perWorker > 0) {
      workers += count;
      tasks += perWorker * count;
    }
  }
  return workers == 0
           ? 1.0
           : static_cast<double>(tasks) / static_cast<double>(workers);
}

std::size_t
ApprovalTarget::Of(const Job& aJob,
                   const StepKey& aKey,
                   const Step& aStep) const
{
  if (mUsableInPool.empty()) {
    return 0;
  }
  const StepSpec& spec = aJob.mRecord.mSpec.mSteps[aKey.mStep];
  const double workersNeeded =
    std::ceil(static_cast<double>(aStep.mTasks.size() - aStep.mSucceeded) /
              MeanTasksPerWorker(aJob.mRecord.mQueue.mPool, spec.mResources));
  return static_cast<std::size_t>(
    std::max(kMinTargetApprovals, mBudget.TargetRoomFactor() * workersNeeded));
}

std::size_t
ApprovalTarget::WithoutRoom(const Job& aJob,
                            const StepKey& aKey,
                            const Step& aStep,
                            TimePoint aNow) const
{
  const std::size_t target = Of(aJob, aKey, aStep);
  if (!HasFoundNoRoom(aStep, aNow)) {
    return target;
  }
  const StepSpec& spec = aJob.mRecord.mSpec.mSteps[aKey.mStep];
  if (spec.mGang) {
    return std::max(target, aStep.mAdvice.mRaisedTarget);
  }
  const auto raises =
    (aNow - *aStep.mNoRoomSince - kNoRoomTolerance) / kTargetRaiseInterval + 1;
  return std::max(target, CountApproved(aStep, spec)) *
         static_cast<std::size_t>(1 + raises);
}

void
ApprovalTarget::RaiseForGang(const Job& aJob,
                             const StepKey& aKey,
                             Step& aStep,
                             const std::vector<Worker*>& aUsable,
                             TimePoint aNow) const
{
  const StepSpec& spec = aJob.mRecord.mSpec.mSteps[aKey.mStep];
  StepAdvice& advice = aStep.mAdvice;
  if (!spec.mGang || aNow < advice.mNextRaise || !HasFoundNoRoom(aStep, aNow)) {
    return;
  }
  advice.mNextRaise = aNow + kTargetRaiseInterval;
  const PoolName& pool = aJob.mRecord.mQueue.mPool;
  const bool hasRoom =
    std::any_of(aUsable.begin(), aUsable.end(), [&](const Worker* aWorker) {
      return aWorker->mEntry.mPool == pool &&
             !advice.mQueried.contains(aWorker) &&
             aWorker->HasRoomFor(spec.mResources);
    });
  if (hasRoom) {
    advice.mRaisedTarget =
      kGangTargetRaise *
      std::max(CountApproved(aStep, spec), Of(aJob, aKey, aStep));
  }
}

std::size_t
ApprovalTarget::CountToQuery(const Job& aJob,
                             const StepKey& aKey,
                             const Step& aStep,
                             std::size_t aTarget) const
{
  const std::size_t approved =
    CountApproved(aStep, aJob.mRecord.mSpec.mSteps[aKey.mStep]);
  if (approved >= aTarget) {
    return 0;
  }
  const auto known = mApprovalShare.find(aJob.mRecord.mQueue.mName);
  const double share =
    known == mApprovalShare.end() ? kDefaultApprovalShare : known->second;
  return static_cast<std::size_t>(static_cast<double>(aTarget - approved) /
                                  std::max(share, kMinApprovalShare));
}

void
ApprovalTarget::NoteAnswer(const QueueName& aQueue,
                           std::size_t aApproved,
                           std::size_t aAsked)
{
  if (aAsked == 0) {
    return;
  }
  double& share =
    mApprovalShare.try_emplace(aQueue, kDefaultApprovalShare).first->second;
  share +=
    kApprovalShareWeight *
    (static_cast<double>(aApproved) / static_cast<double>(aAsked) - share);
}

} // namespace oriolevane::jobs
