#include "jobs/internal/dispatcher.h"

#include <algorithm>

#include "framework/log.h"

namespace oriolevane::jobs {

namespace {

using namespace std::chrono_literals;

// Leases must last so long for a start to be worth while.
constexpr std::chrono::milliseconds kLeastLease = 1500ms;
// Advice is kept usable for so many waiting steps of each kind of step.
constexpr int kStepsKeptFresh = 12;
// How long before an earlier step's end the next one's advice should be there.
constexpr std::chrono::milliseconds kAdviceAhead = 250ms;
// A worker is used for so long after it has left the registry.
constexpr std::chrono::milliseconds kUnlistedUsable = 2500ms;
// A worker that is slower than expected by this factor is used last.
constexpr double kSlow = 2.5;

const StepSpec&
SpecOf(const Job& aJob, const StepKey& aStep)
{
  return aJob.mRecord.mSpec.mSteps[aStep.mStep];
}

bool
HasWaitingTasks(const Step& aStep, const StepSpec& aSpec)
{
  if (aSpec.mGang) {
    return !aStep.IsDone() && !aStep.HasRuns();
  }
  return std::any_of(aStep.mTasks.begin(),
                     aStep.mTasks.end(),
                     [](const Task& aTask) { return aTask.IsWaiting(); });
}

bool
IsReady(const Occurrence& aOccurrence, const StepSpec& aSpec)
{
  return std::all_of(
    aSpec.mAfter.begin(), aSpec.mAfter.end(), [&](int aEarlier) {
      return aOccurrence.mSteps[aEarlier].IsDone();
    });
}

// When the last run of the step should end; nothing when some wait to start.
std::optional<TimePoint>
ExpectedEnd(const Step& aStep, const StepSpec& aSpec)
{
  TimePoint end{};
  for (const Task& task : aStep.mTasks) {
    if (task.mSucceeded) {
      continue;
    }
    if (task.mRuns.empty()) {
      return std::nullopt;
    }
    end = std::max(end, task.mRuns.front()->mOrderedAt + aSpec.mEstimate);
  }
  return end;
}

Duration
QueryTime(const AdvicePolicy& aPolicy, std::size_t aWorkers)
{
  return aPolicy.mDecisionTime +
         aPolicy.mTimePerWorker * static_cast<std::int64_t>(aWorkers);
}

} // namespace

void
Dispatcher::Dispatch(const Moment& aNow, bool aResolved)
{
  FindUsableWorkers(aNow.mSteady);
  if (mCell.mFleet.Authority() - aNow.mSteady < kLeastLease) {
    return;
  }
  std::vector<Candidate> candidates = Collect(aNow, aResolved);
  std::sort(candidates.begin(),
            candidates.end(),
            [](const Candidate& aLeft, const Candidate& aRight) {
              return aLeft.mUrgency < aRight.mUrgency;
            });
  std::map<QueueName, int> fresh;
  for (const Candidate& candidate : candidates) {
    const QueuePolicy& queue = candidate.mJob->mRecord.mQueue;
    if (queue.mAdvice.has_value() && fresh[queue.mName]++ < kStepsKeptFresh) {
      KeepAdviceFresh(candidate, aNow.mSteady);
    }
    if (candidate.mStep->mNotBefore > aNow.mSteady) {
      continue;
    }
    if (SpecOf(*candidate.mJob, candidate.mKey).mGang) {
      PlaceGang(candidate, aNow);
    } else {
      PlaceEach(candidate, aNow);
    }
  }
}

void
Dispatcher::FindUsableWorkers(TimePoint aNow)
{
  mUsable.clear();
  for (auto& [id, worker] : mCell.mFleet.Workers()) {
    const bool trialFull = worker.mHealth.mOnTrial && !worker.mRuns.empty();
    // The registry forgets live workers while the store is away.
    const bool listed =
      worker.mListed || worker.mUnlistedSince + kUnlistedUsable > aNow;
    if (listed && !worker.mEntry.mDraining && worker.mRecorded &&
        worker.mReachable && worker.mResolved && worker.mClock.has_value() &&
        worker.mHealth.mAvoidUntil <= aNow && !trialFull) {
      mUsable.push_back(&worker);
    }
  }
}

std::vector<Dispatcher::Candidate>
Dispatcher::Collect(const Moment& aNow, bool aResolved)
{
  std::vector<Candidate> candidates;
  for (auto& [id, job] : mCell.mJobs.Jobs()) {
    if (job.mPhase == JobPhase::Open && (aResolved || !job.mRecovered)) {
      CollectJob(job, aNow, candidates);
    }
  }
  return candidates;
}

void
Dispatcher::CollectJob(Job& aJob,
                       const Moment& aNow,
                       std::vector<Candidate>& aCandidates)
{
  for (auto& [number, occurrence] : aJob.mOccurrences) {
    if (occurrence.mFinished) {
      continue;
    }
    for (std::size_t place = 0; place < occurrence.mSteps.size(); ++place) {
      Step& step = occurrence.mSteps[place];
      const StepKey key{ .mJob = aJob.Id(),
                         .mOccurrence = number,
                         .mStep = static_cast<int>(place) };
      const StepSpec& spec = SpecOf(aJob, key);
      if (step.IsDone() || !HasWaitingTasks(step, spec)) {
        continue;
      }
      if (!IsReady(occurrence, spec)) {
        AskAhead(aJob, key, aNow);
        continue;
      }
      if (!step.mReadyAt.has_value()) {
        step.mReadyAt = aNow.mSteady;
      }
      aCandidates.push_back({ .mJob = &aJob,
                              .mStep = &step,
                              .mKey = key,
                              .mUrgency = UrgencyOf(aJob, key, aNow) });
    }
  }
}

void
Dispatcher::AskAhead(Job& aJob, const StepKey& aStep, const Moment& aNow)
{
  const std::optional<AdvicePolicy>& advice = aJob.mRecord.mQueue.mAdvice;
  if (!advice.has_value() || mCell.mAdvice.HasAnswer(aStep)) {
    return;
  }
  TimePoint end{};
  for (const int earlier : SpecOf(aJob, aStep).mAfter) {
    const Step& before = *aJob.FindStep(aStep.mOccurrence, earlier);
    const std::optional<TimePoint> expected =
      ExpectedEnd(before, aJob.mRecord.mSpec.mSteps[earlier]);
    if (!expected.has_value()) {
      return;
    }
    end = std::max(end, *expected);
  }
  if (end - QueryTime(*advice, mUsable.size()) - kAdviceAhead <= aNow.mSteady) {
    AskFor(aJob, aStep, aNow.mSteady);
  }
}

void
Dispatcher::AskFor(const Job& aJob, const StepKey& aStep, TimePoint aNow)
{
  std::vector<WorkerId> workers;
  for (const Worker* worker : mUsable) {
    if (worker->mEntry.mPool == aJob.mRecord.mQueue.mPool) {
      workers.push_back(worker->Id());
    }
  }
  mCell.mAdvice.Ask(aStep,
                    *aJob.mRecord.mQueue.mAdvice,
                    workers,
                    aNow,
                    mCell.mHooks.mAskAdvice);
}

void
Dispatcher::KeepAdviceFresh(const Candidate& aCandidate, TimePoint aNow)
{
  const AdvicePolicy& advice = *aCandidate.mJob->mRecord.mQueue.mAdvice;
  const TimePoint needed = aNow + QueryTime(advice, mUsable.size());
  if (!mCell.mAdvice.IsFreshUntil(aCandidate.mKey, needed)) {
    AskFor(*aCandidate.mJob, aCandidate.mKey, aNow);
  }
}

std::vector<Worker*>
Dispatcher::AllowedWorkers(const Candidate& aCandidate, TimePoint aNow) const
{
  const QueuePolicy& queue = aCandidate.mJob->mRecord.mQueue;
  const StepSpec& spec = SpecOf(*aCandidate.mJob, aCandidate.mKey);
  std::vector<Worker*> allowed;
  for (Worker* worker : mUsable) {
    const WorkerEntry& entry = worker->mEntry;
    const bool labelled = spec.mRequiredLabel.empty() ||
                          spec.mRequiredLabel == entry.mKind ||
                          spec.mRequiredLabel == entry.mRack.mValue;
    const bool advised =
      !queue.mAdvice.has_value() ||
      mCell.mAdvice.TicketFor(aCandidate.mKey, worker->Id(), aNow) != nullptr;
    if (entry.mPool == queue.mPool && labelled && advised) {
      allowed.push_back(worker);
    }
  }
  return allowed;
}

bool
Dispatcher::IsBelowLimit(const Worker& aWorker,
                         const StepKey& aStep,
                         const StepSpec& aSpec)
{
  if (aSpec.mMostPerWorker == 0) {
    return true;
  }
  const auto here = std::count_if(
    aWorker.mRuns.begin(), aWorker.mRuns.end(), [&](const RunPointer& aRun) {
      return aRun->mTask.mStep == aStep;
    });
  return here < aSpec.mMostPerWorker;
}

double
Dispatcher::Cost(const Worker& aWorker, const StepSpec& aSpec) const
{
  const Resources left = aWorker.mEntry.mCapacity - aWorker.mUsed;
  const auto share = [](std::int64_t aLeft, std::int64_t aOf) {
    return aOf <= 0 ? 0.0
                    : static_cast<double>(aLeft) / static_cast<double>(aOf);
  };
  // The fullest worker that fits, so that room for large tasks stays whole.
  double cost = share(left.mMilliCores, aWorker.mEntry.mCapacity.mMilliCores) +
                share(left.mMemoryMiB, aWorker.mEntry.mCapacity.mMemoryMiB);
  if (!aSpec.mDataRack.empty() &&
      aSpec.mDataRack != aWorker.mEntry.mRack.mValue) {
    cost += 10 * mCell.mOptions.mRemoteFactor;
  }
  if (aWorker.mHealth.mSlowness > kSlow) {
    cost += 10 * aWorker.mHealth.mSlowness;
  }
  return cost;
}

Worker*
Dispatcher::Choose(const Candidate& aCandidate,
                   const std::vector<Worker*>& aAllowed) const
{
  const StepSpec& spec = SpecOf(*aCandidate.mJob, aCandidate.mKey);
  Worker* best = nullptr;
  double bestCost = 0;
  for (Worker* worker : aAllowed) {
    if (!worker->HasRoomFor(spec.mResources) ||
        !IsBelowLimit(*worker, aCandidate.mKey, spec) ||
        (worker->mHealth.mOnTrial && !worker->mRuns.empty())) {
      continue;
    }
    const double cost = Cost(*worker, spec);
    if (best == nullptr || cost < bestCost) {
      best = worker;
      bestCost = cost;
    }
  }
  return best;
}

void
Dispatcher::PlaceEach(const Candidate& aCandidate, const Moment& aNow)
{
  const std::vector<Worker*> allowed = AllowedWorkers(aCandidate, aNow.mSteady);
  if (allowed.empty()) {
    return;
  }
  std::vector<Task>& tasks = aCandidate.mStep->mTasks;
  for (std::size_t index = 0; index < tasks.size(); ++index) {
    if (!tasks[index].IsWaiting()) {
      continue;
    }
    Worker* worker = Choose(aCandidate, allowed);
    if (worker == nullptr) {
      return;
    }
    StartOn(aCandidate,
            static_cast<int>(index),
            mRuns.NextNumber(tasks[index]),
            *worker,
            tasks[index].mCheckpoint,
            aNow.mSteady);
  }
}

void
Dispatcher::PlaceGang(const Candidate& aCandidate, const Moment& aNow)
{
  const std::vector<Worker*> allowed = AllowedWorkers(aCandidate, aNow.mSteady);
  const StepSpec& spec = SpecOf(*aCandidate.mJob, aCandidate.mKey);
  std::vector<Task>& tasks = aCandidate.mStep->mTasks;
  std::vector<Worker*> chosen;
  // Reserves room as it goes, and gives it back below.
  for (std::size_t index = 0; index < tasks.size(); ++index) {
    Worker* worker = Choose(aCandidate, allowed);
    if (worker == nullptr) {
      break;
    }
    const auto here = std::count(chosen.begin(), chosen.end(), worker);
    if (spec.mMostPerWorker > 0 && here >= spec.mMostPerWorker) {
      break;
    }
    worker->mUsed += spec.mResources;
    chosen.push_back(worker);
  }
  for (Worker* worker : chosen) {
    worker->mUsed -= spec.mResources;
  }
  if (chosen.size() < tasks.size()) {
    return;
  }
  RunNumber number;
  std::string checkpoint;
  for (const Task& task : tasks) {
    number = std::max(number, mRuns.NextNumber(task));
    // The members of a gang go on from the same point.
    checkpoint = std::max(checkpoint, task.mCheckpoint);
  }
  for (std::size_t index = 0; index < tasks.size(); ++index) {
    StartOn(aCandidate,
            static_cast<int>(index),
            number,
            *chosen[index],
            checkpoint,
            aNow.mSteady);
  }
}

void
Dispatcher::StartOn(const Candidate& aCandidate,
                    int aIndex,
                    RunNumber aNumber,
                    Worker& aWorker,
                    const std::string& aCheckpoint,
                    TimePoint aNow)
{
  const std::string* ticket =
    mCell.mAdvice.TicketFor(aCandidate.mKey, aWorker.Id(), aNow);
  mRuns.Start(*aCandidate.mJob,
              { .mStep = aCandidate.mKey, .mIndex = aIndex },
              aNumber,
              aWorker,
              ticket == nullptr ? std::string() : *ticket,
              aCheckpoint,
              aNow);
}

} // namespace oriolevane::jobs
