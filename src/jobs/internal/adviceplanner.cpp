#include "jobs/internal/adviceplanner.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "framework/stablehash.h"
#include "jobs/internal/advicescore.h"
#include "jobs/internal/runforecast.h"
#include "jobs/internal/speedpreference.h"

namespace oriolevane::jobs {

namespace {

using namespace std::chrono_literals;

// The policy service accepts no more workers in one call.
constexpr std::size_t kMaxWorkersPerQuery = 100;
// A ticket is used only up to this long before it expires, so that it is still
// valid when the start order arrives at the worker.
constexpr std::chrono::milliseconds kTicketUseMargin = 150ms;
// An answer for a step should arrive this long before the last of its
// prerequisites is expected to end.
constexpr std::chrono::milliseconds kQueryAheadMargin = 250ms;
constexpr double kMinTargetApprovals = 10.0;
// While the approvals are fewer than the target divided by this number, a query
// for further workers is sent before the tickets need to be renewed.
constexpr std::size_t kLowApprovalsDivisor = 2;
// Once a step has found no room on its approved workers for the first time, the
// target is raised by its own amount again each time the second time passes.
constexpr std::chrono::milliseconds kNoRoomTolerance = 1000ms;
constexpr std::chrono::milliseconds kTargetRaiseInterval = 1000ms;
// The share of approvals that is assumed until the first answer for a queue.
constexpr double kDefaultApprovalShare = 0.4;
constexpr double kMinApprovalShare = 0.1;
constexpr double kApprovalShareWeight = 0.05;

Duration
QueryTime(const AdvicePolicy& aPolicy, std::size_t aWorkers)
{
  return aPolicy.mDecisionTime +
         aPolicy.mTimePerWorker * static_cast<std::int64_t>(aWorkers);
}

std::chrono::microseconds
ServiceTime(const Job& aJob, std::size_t aWorkers)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
    QueryTime(*aJob.mRecord.mQueue.mAdvice, aWorkers));
}

// The number of approved workers that would hold a task if they were empty.
// Approvals of workers that have shrunk are kept, as these may grow again.
std::size_t
CountApproved(const Step& aStep, const StepSpec& aSpec)
{
  const std::vector<Approval>& approved = aStep.mAdvice.mApproved;
  return std::count_if(
    approved.begin(), approved.end(), [&aSpec](const Approval& aApproval) {
      return HoldsTask(*aApproval.mWorker, aSpec);
    });
}

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

} // namespace

void
AdvicePlanner::SetUsableWorkers(const std::vector<Worker*>& aUsable,
                                bool aSpeedsKnown)
{
  mUsable = aUsable;
  mSpeedsKnown = aSpeedsKnown;
  mUsableInPool.clear();
  for (const Worker* worker : mUsable) {
    const Resources& capacity = worker->mEntry.mCapacity;
    PoolWorkers& pool = mUsableInPool[worker->mEntry.mPool];
    ++pool.mCount;
    ++pool.mCapacities[{ capacity.mMilliCores, capacity.mMemoryMiB }];
  }
}

double
AdvicePlanner::MeanTasksPerWorker(const PoolName& aPool,
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
AdvicePlanner::TargetApprovals(const Job& aJob,
                               const StepKey& aKey,
                               const Step& aStep) const
{
  if (mUsable.empty()) {
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
AdvicePlanner::TargetWithoutRoom(const Job& aJob,
                                 const StepKey& aKey,
                                 const Step& aStep,
                                 TimePoint aNow) const
{
  const std::size_t target = TargetApprovals(aJob, aKey, aStep);
  // A gang waits for all of its members, and its target allows for that.
  const StepSpec& spec = aJob.mRecord.mSpec.mSteps[aKey.mStep];
  if (spec.mGang || !aStep.mNoRoomSince.has_value() ||
      *aStep.mNoRoomSince + kNoRoomTolerance > aNow) {
    return target;
  }
  const auto raises =
    (aNow - *aStep.mNoRoomSince - kNoRoomTolerance) / kTargetRaiseInterval + 1;
  return std::max(target, CountApproved(aStep, spec)) *
         static_cast<std::size_t>(1 + raises);
}

std::size_t
AdvicePlanner::CountToQuery(const Job& aJob,
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

std::vector<Worker*>
AdvicePlanner::SelectWorkers(const Job& aJob,
                             const StepKey& aKey,
                             const Step& aStep,
                             TimePoint aNow) const
{
  using ScoredWorkers = std::vector<std::pair<double, Worker*>>;
  ScoredWorkers unqueried;
  ScoredWorkers expiring;
  const StepSpec& spec = aJob.mRecord.mSpec.mSteps[aKey.mStep];
  const TimePoint renewBefore =
    aNow + QueryTime(*aJob.mRecord.mQueue.mAdvice, kMaxWorkersPerQuery);
  AdviceScoreOptions score{
    .mSeed = StableHash(aKey.ToText()),
    .mSpeedsKnown = mSpeedsKnown,
    .mPreferFast = mSpreadsShortJobs && PrefersFastWorkers(aJob, aKey.mStep)
  };
  for (Worker* worker : mUsable) {
    score.mFillPosition += 1.0 / static_cast<double>(mUsable.size());
    if (worker->mEntry.mPool != aJob.mRecord.mQueue.mPool) {
      continue;
    }
    const Approval* approval = aStep.mAdvice.ApprovalOf(worker);
    if (approval != nullptr && approval->mUsableUntil < renewBefore) {
      expiring.emplace_back(AdviceScore(*worker, spec, score), worker);
    } else if (!aStep.mAdvice.mQueried.contains(worker)) {
      unqueried.emplace_back(AdviceScore(*worker, spec, score), worker);
    }
  }
  const std::size_t target = TargetApprovals(aJob, aKey, aStep);
  const std::size_t maxWorkers =
    mBudget.MaxParallelQueries() * kMaxWorkersPerQuery;
  std::vector<Worker*> selected;
  const auto append = [&selected, maxWorkers](ScoredWorkers& aScored,
                                              std::size_t aLimit) {
    const std::size_t count =
      std::min({ aLimit, maxWorkers - selected.size(), aScored.size() });
    std::partial_sort(aScored.begin(),
                      aScored.begin() + static_cast<std::ptrdiff_t>(count),
                      aScored.end(),
                      [](const auto& aLeft, const auto& aRight) {
                        return aLeft.first > aRight.first;
                      });
    for (std::size_t index = 0; index < count; ++index) {
      selected.push_back(aScored[index].second);
    }
  };
  append(expiring, target);
  append(unqueried,
         CountToQuery(
           aJob, aKey, aStep, TargetWithoutRoom(aJob, aKey, aStep, aNow)));
  return selected;
}

void
AdvicePlanner::SendQueries(const Job& aJob,
                           const StepKey& aKey,
                           Step& aStep,
                           TimePoint aNow)
{
  StepAdvice& advice = aStep.mAdvice;
  if (advice.mPendingQueries > 0) {
    return;
  }
  const std::vector<Worker*> selected = SelectWorkers(aJob, aKey, aStep, aNow);
  if (selected.empty()) {
    return;
  }
  const std::size_t queries =
    (selected.size() + kMaxWorkersPerQuery - 1) / kMaxWorkersPerQuery;
  // The selected workers are dealt out in turn, so that each answer names some
  // of those with the highest scores.
  std::vector<std::vector<WorkerId>> workers(queries);
  for (std::size_t index = 0; index < selected.size(); ++index) {
    workers[index % queries].push_back(selected[index]->Id());
  }
  advice.mPendingQueries = queries;
  advice.mPendingServiceTime = {};
  advice.mQueriedAt = aNow;
  for (std::vector<WorkerId>& part : workers) {
    advice.mPendingServiceTime += ServiceTime(aJob, part.size());
    SendQuery(aJob, aKey, std::move(part));
  }
  mBudget.NoteServiceTime(advice.mPendingServiceTime);
}

void
AdvicePlanner::SendQuery(const Job& aJob,
                         const StepKey& aKey,
                         std::vector<WorkerId> aWorkers)
{
  const std::chrono::microseconds serviceTime =
    ServiceTime(aJob, aWorkers.size());
  mCell.mHooks.mAskAdvice(
    { .mStep = aKey,
      .mWorkers = std::move(aWorkers),
      .mServiceTime = serviceTime,
      .mValidity = aJob.mRecord.mQueue.mAdvice->mValidity,
      .mBoundedWait = aJob.mRecord.mSpec.mSteps[aKey.mStep].mLongRunning });
}

void
AdvicePlanner::QueryIfNeeded(const Job& aJob,
                             const StepKey& aKey,
                             Step& aStep,
                             TimePoint aNow)
{
  const StepAdvice& advice = aStep.mAdvice;
  const std::size_t target = TargetApprovals(aJob, aKey, aStep);
  const auto inPool = mUsableInPool.find(aJob.mRecord.mQueue.mPool);
  const StepSpec& spec = aJob.mRecord.mSpec.mSteps[aKey.mStep];
  const bool mayFindMore =
    CountApproved(aStep, spec) <
      TargetWithoutRoom(aJob, aKey, aStep, aNow) / kLowApprovalsDivisor &&
    inPool != mUsableInPool.end() &&
    advice.mQueried.size() < inPool->second.mCount;
  const std::size_t renewed =
    std::min({ advice.mApproved.size(), target, kMaxWorkersPerQuery });
  const TimePoint answeredBy =
    aNow + QueryTime(*aJob.mRecord.mQueue.mAdvice, renewed);
  if (mayFindMore || advice.TicketsUsableUntil(target) < answeredBy) {
    SendQueries(aJob, aKey, aStep, aNow);
  }
}

void
AdvicePlanner::QueryAhead(Job& aJob, const StepKey& aKey, TimePoint aNow)
{
  const std::optional<AdvicePolicy>& policy = aJob.mRecord.mQueue.mAdvice;
  Step& step = *aJob.FindStep(aKey.mOccurrence, aKey.mStep);
  if (!policy.has_value() || step.mAdvice.mPendingQueries > 0 ||
      step.mAdvice.mAnswered) {
    return;
  }
  TimePoint end{};
  for (const int earlier : aJob.mRecord.mSpec.mSteps[aKey.mStep].mAfter) {
    const Step& before = *aJob.FindStep(aKey.mOccurrence, earlier);
    const std::optional<TimePoint> expected =
      EstimatedEndOf(before, aJob.mRecord.mSpec.mSteps[earlier]);
    if (!expected.has_value()) {
      return;
    }
    end = std::max(end, *expected);
  }
  const std::size_t count =
    std::min(kMaxWorkersPerQuery,
             CountToQuery(aJob, aKey, step, TargetApprovals(aJob, aKey, step)));
  if (end - QueryTime(*policy, count) - kQueryAheadMargin <= aNow) {
    SendQueries(aJob, aKey, step, aNow);
  }
}

bool
AdvicePlanner::IsWanted(const StepKey& aKey) const
{
  Job* job = mCell.mJobs.Find(aKey.mJob);
  if (job == nullptr || job->mPhase != JobPhase::Open) {
    return false;
  }
  const Step* step = job->FindStep(aKey.mOccurrence, aKey.mStep);
  return step != nullptr &&
         step->HasWaitingTasks(job->mRecord.mSpec.mSteps[aKey.mStep]);
}

void
AdvicePlanner::OnAnswer(const AdviceAnswer& aAnswer, TimePoint aNow)
{
  Job* job = mCell.mJobs.Find(aAnswer.mStep.mJob);
  Step* step = job == nullptr ? nullptr
                              : job->FindStep(aAnswer.mStep.mOccurrence,
                                              aAnswer.mStep.mStep);
  if (step == nullptr) {
    return;
  }
  StepAdvice& advice = step->mAdvice;
  if (advice.mPendingQueries > 0) {
    --advice.mPendingQueries;
  }
  if (advice.mPendingQueries == 0) {
    advice.mPendingServiceTime = {};
  }
  if (!aAnswer.mAnswered) {
    return;
  }
  advice.mAnswered = true;
  const TimePoint usableUntil = aNow + aAnswer.mValidity - kTicketUseMargin;
  // The new tickets may let the step start, so its earlier failed attempt no
  // longer counts.
  step->mTriedGeneration = 0;
  for (const WorkerId& id : aAnswer.mAsked) {
    if (const Worker* worker = mCell.mFleet.Find(id); worker != nullptr) {
      advice.mQueried.insert(worker);
    }
  }
  for (const AdviceTicket& ticket : aAnswer.mApproved) {
    Worker* worker = mCell.mFleet.Find(ticket.mWorker);
    if (worker == nullptr) {
      continue;
    }
    const auto known = std::find_if(advice.mApproved.begin(),
                                    advice.mApproved.end(),
                                    [worker](const Approval& aApproval) {
                                      return aApproval.mWorker == worker;
                                    });
    Approval& approval = known != advice.mApproved.end()
                           ? *known
                           : advice.mApproved.emplace_back();
    approval = { .mWorker = worker,
                 .mTicket = ticket.mTicket,
                 .mUsableUntil = usableUntil };
  }
  if (!aAnswer.mAsked.empty()) {
    double& share =
      mApprovalShare
        .try_emplace(job->mRecord.mQueue.mName, kDefaultApprovalShare)
        .first->second;
    share +=
      kApprovalShareWeight * (static_cast<double>(aAnswer.mApproved.size()) /
                                static_cast<double>(aAnswer.mAsked.size()) -
                              share);
  }
}

void
AdvicePlanner::RemoveWorker(const Worker* aWorker)
{
  for (auto& [id, job] : mCell.mJobs.Jobs()) {
    for (auto& [number, occurrence] : job.mOccurrences) {
      for (Step& step : occurrence.mSteps) {
        step.mAdvice.RemoveWorker(aWorker);
      }
    }
  }
}

} // namespace oriolevane::jobs
