#include "jobs/internal/adviceplanner.h"

#include <algorithm>
#include <utility>

#include "framework/log.h"
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
// The workers of a query are chosen again once it has waited for this long.
constexpr std::chrono::milliseconds kMinWaitToUpdate = 200ms;
// While the approvals are fewer than the target divided by this number, a query
// for further workers is sent before the tickets need to be renewed.
constexpr std::size_t kLowApprovalsDivisor = 2;
Duration
QueryTime(const AdvicePolicy& aPolicy, std::size_t aWorkers)
{
  return aPolicy.mDecisionTime +
         aPolicy.mTimePerWorker * static_cast<std::int64_t>(aWorkers);
}

} // namespace

void
AdvicePlanner::SetUsableWorkers(const std::vector<Worker*>& aUsable,
                                bool aSpeedsKnown)
{
  mUsable = aUsable;
  mSpeedsKnown = aSpeedsKnown;
  mTarget.SetUsableWorkers(aUsable);
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
  AdviceScoreOptions score{ .mSeed = StableHash(aKey.ToText()),
                            .mSpeedsKnown = mSpeedsKnown,
                            .mPreferFast = mCell.mSpeedPreference.PrefersFast(
                              aJob, aKey.mStep) };
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
  const std::size_t target = mTarget.Of(aJob, aKey, aStep);
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
         mTarget.CountToQuery(
           aJob, aKey, aStep, mTarget.WithoutRoom(aJob, aKey, aStep, aNow)));
  return selected;
}

void
AdvicePlanner::SendQueries(const Job& aJob,
                           const StepKey& aKey,
                           Step& aStep,
                           TimePoint aNow)
{
  StepAdvice& advice = aStep.mAdvice;
  if (advice.mPendingQueries > 0 || aNow < advice.mRetryAt) {
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
    const AdviceQuery query = MakeQuery(aJob, aKey, std::move(part));
    advice.mPendingServiceTime += query.mServiceTime;
    mCell.mHooks.mAskAdvice(query);
  }
  mBudget.NoteServiceTime(advice.mPendingServiceTime);
}

AdviceQuery
AdvicePlanner::MakeQuery(const Job& aJob,
                         const StepKey& aKey,
                         std::vector<WorkerId> aWorkers)
{
  const AdvicePolicy& policy = *aJob.mRecord.mQueue.mAdvice;
  const auto serviceTime =
    std::chrono::duration_cast<std::chrono::microseconds>(
      QueryTime(policy, aWorkers.size()));
  return { .mStep = aKey,
           .mWorkers = std::move(aWorkers),
           .mServiceTime = serviceTime,
           .mValidity = policy.mValidity,
           .mBoundedWait = aJob.mRecord.mSpec.mSteps[aKey.mStep].mLongRunning };
}

void
AdvicePlanner::QueryIfNeeded(const Job& aJob,
                             const StepKey& aKey,
                             Step& aStep,
                             TimePoint aNow)
{
  const StepAdvice& advice = aStep.mAdvice;
  mTarget.RaiseForGang(aJob, aKey, aStep, mUsable, aNow);
  const std::size_t target = mTarget.Of(aJob, aKey, aStep);
  const StepSpec& spec = aJob.mRecord.mSpec.mSteps[aKey.mStep];
  const bool mayFindMore =
    CountApproved(aStep, spec) <
      mTarget.WithoutRoom(aJob, aKey, aStep, aNow) / kLowApprovalsDivisor &&
    advice.mQueried.size() < mTarget.UsableInPool(aJob.mRecord.mQueue.mPool);
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
  const std::size_t count = std::min(
    kMaxWorkersPerQuery,
    mTarget.CountToQuery(aJob, aKey, step, mTarget.Of(aJob, aKey, step)));
  if (end - QueryTime(*policy, count) - kQueryAheadMargin <= aNow) {
    SendQueries(aJob, aKey, step, aNow);
  }
}

std::optional<AdviceQuery>
AdvicePlanner::Update(const AdviceQuery& aQuery, TimePoint aNow)
{
  const StepKey& key = aQuery.mStep;
  Job* job = mCell.mJobs.Find(key.mJob);
  if (job == nullptr || job->mPhase != JobPhase::Open) {
    return std::nullopt;
  }
  Step* step = job->FindStep(key.mOccurrence, key.mStep);
  if (step == nullptr ||
      !step->HasWaitingTasks(job->mRecord.mSpec.mSteps[key.mStep])) {
    return std::nullopt;
  }
  // The queries of one round divide the workers between them.
  if (step->mAdvice.mPendingQueries > 1 ||
      !job->mRecord.mQueue.mAdvice.has_value() ||
      aNow - step->mAdvice.mQueriedAt < kMinWaitToUpdate) {
    return aQuery;
  }
  std::vector<WorkerId> workers;
  for (const Worker* worker : SelectWorkers(*job, key, *step, aNow)) {
    if (workers.size() < kMaxWorkersPerQuery) {
      workers.push_back(worker->Id());
    }
  }
  if (workers.empty()) {
    return std::nullopt;
  }
  AdviceQuery updated = MakeQuery(*job, key, std::move(workers));
  step->mAdvice.mPendingServiceTime = updated.mServiceTime;
  return updated;
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
    advice.NoteUnanswered(aNow);
    return;
  }
  advice.mUnanswered = 0;
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
  mTarget.NoteAnswer(
    job->mRecord.mQueue.mName, aAnswer.mApproved.size(), aAnswer.mAsked.size());
}

std::size_t
AdvicePlanner::CheckPendingQueries(const QueryCounts& aPending, TimePoint aNow)
{
  mLongestWait = {};
  std::size_t lost = 0;
  for (auto& [id, job] : mCell.mJobs.Jobs()) {
    for (auto& [number, occurrence] : job.mOccurrences) {
      StepKey key{ .mJob = id, .mOccurrence = number };
      for (Step& step : occurrence.mSteps) {
        lost += ForgetLostQueries(key, step.mAdvice, aPending, aNow);
        ++key.mStep;
      }
    }
  }
  return lost;
}

std::size_t
AdvicePlanner::ForgetLostQueries(const StepKey& aKey,
                                 StepAdvice& aAdvice,
                                 const QueryCounts& aPending,
                                 TimePoint aNow)
{
  if (aAdvice.mPendingQueries == 0) {
    return 0;
  }
  const Duration waited = aNow - aAdvice.mQueriedAt;
  const auto found = aPending.find(aKey);
  const std::size_t pending = found == aPending.end() ? 0 : found->second;
  if (aAdvice.mPendingQueries <= pending) {
    mLongestWait = std::max(mLongestWait, waited);
    return 0;
  }
  const std::size_t lost = aAdvice.mPendingQueries - pending;
  LogWarning("advice_query_lost")
    .With("step", aKey.ToText())
    .With("queries", lost)
    .With(
      "query_age_ms",
      std::chrono::duration_cast<std::chrono::milliseconds>(waited).count());
  aAdvice.mPendingQueries = pending;
  if (pending == 0) {
    aAdvice.mPendingServiceTime = {};
  }
  mCell.mDispatchWanted = true;
  return lost;
}

void
AdvicePlanner::RemoveWorker(const Worker* aWorker)
{
  std::erase(mUsable, aWorker);
  for (auto& [id, job] : mCell.mJobs.Jobs()) {
    for (auto& [number, occurrence] : job.mOccurrences) {
      for (Step& step : occurrence.mSteps) {
        step.mAdvice.RemoveWorker(aWorker);
      }
    }
  }
}

} // namespace oriolevane::jobs
