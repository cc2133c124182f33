#include "jobs/internal/dispatcher.h"

#include <algorithm>

#include "framework/log.h"

namespace oriolevane::jobs {

namespace {

using namespace std::chrono_literals;

// Leases must last so long for a start to be worth while.
constexpr std::chrono::milliseconds kLeastLease = 1500ms;
// Advice is kept usable for so many waiting steps of each kind of step.
constexpr int kStepsKeptFresh = 24;
// A worker is used for so long after it has left the registry.
constexpr std::chrono::milliseconds kUnlistedUsable = 2500ms;
// While gangs wait for longer than this, single tasks with ample slack keep to
// a share of the workers.
constexpr std::chrono::milliseconds kGangWaits = 500ms;
constexpr std::chrono::milliseconds kAmpleSlack = 4000ms;
// The same as a share of the objective.
constexpr double kAmpleShare = 0.35;
constexpr double kMostSinglesShare = 0.45;
constexpr double kLeastSinglesShare = 0.2;
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
HasAmpleSlack(const Job& aJob, const Urgency& aUrgency)
{
  return aUrgency.mSlack > kAmpleSlack &&
         aUrgency.mSlack > aJob.mTimes.mObjective * kAmpleShare;
}

bool
IsReady(const Occurrence& aOccurrence, const StepSpec& aSpec)
{
  return std::all_of(
    aSpec.mAfter.begin(), aSpec.mAfter.end(), [&](int aEarlier) {
      return aOccurrence.mSteps[aEarlier].IsDone();
    });
}

} // namespace

void
Dispatcher::Dispatch(const Moment& aNow, bool aResolved)
{
  FindUsableWorkers(aNow.mSteady);
  mAdvice.SetUsable(mUsable);
  if (mCell.mFleet.Authority() - aNow.mSteady < kLeastLease) {
    return;
  }
  std::vector<Candidate> candidates = Collect(aNow, aResolved);
  std::sort(candidates.begin(),
            candidates.end(),
            [](const Candidate& aLeft, const Candidate& aRight) {
              return aLeft.mUrgency < aRight.mUrgency;
            });
  mNow = aNow.mSteady;
  mGangRoom.Begin(mNow);
  std::map<QueueName, int> fresh;
  mSinglesShare = SinglesShare(candidates);
  for (const Candidate& candidate : candidates) {
    const QueuePolicy& queue = candidate.mJob->mRecord.mQueue;
    if (queue.mAdvice.has_value() && (!candidate.mStep->mAdvice.mAnswered ||
                                      fresh[queue.mName]++ < kStepsKeptFresh)) {
      mAdvice.KeepFresh(
        *candidate.mJob, candidate.mKey, *candidate.mStep, aNow.mSteady);
    }
    if (candidate.mStep->mNotBefore > aNow.mSteady) {
      continue;
    }
    const bool gang = SpecOf(*candidate.mJob, candidate.mKey).mGang;
    if (IsWorthTrying(candidate)) {
      mHeldBack = false;
      if (gang) {
        PlaceGang(candidate, aNow);
      } else {
        PlaceEach(candidate, aNow);
      }
    }
    if (gang && !candidate.mStep->HasRuns() && !mGangRoom.IsFull() &&
        candidate.mUrgency.mPunctuality == Punctuality::OnTime) {
      mGangRoom.Keep(SpecOf(*candidate.mJob, candidate.mKey),
                     ApprovedWorkers(candidate));
    }
  }
}

// The more room gangs wait for, the fewer workers single tasks with ample slack
// may use.
double
Dispatcher::SinglesShare(const std::vector<Candidate>& aCandidates) const
{
  double waiting = 0;
  for (const Candidate& candidate : aCandidates) {
    const StepSpec& spec = SpecOf(*candidate.mJob, candidate.mKey);
    if (spec.mGang && candidate.mUrgency.mPunctuality == Punctuality::OnTime &&
        *candidate.mStep->mReadyAt + kGangWaits < mNow) {
      waiting +=
        static_cast<double>(spec.mResources.mMilliCores) * spec.mTaskCount;
    }
  }
  if (waiting == 0) {
    return 1.0;
  }
  double all = 0;
  for (const Worker* worker : mUsable) {
    all += static_cast<double>(worker->mEntry.mCapacity.mMilliCores);
  }
  return std::clamp(
    kMostSinglesShare - waiting / all, kLeastSinglesShare, kMostSinglesShare);
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
    const bool usable = listed && !worker.mEntry.mDraining &&
                        worker.mRecorded && worker.mReachable &&
                        worker.mResolved && worker.mClock.has_value() &&
                        worker.mHealth.mAvoidUntil <= aNow && !trialFull;
    if (usable && !worker.mWasUsable) {
      mCell.mFleet.NoteGain(worker);
    }
    worker.mWasUsable = usable;
    if (usable) {
      mUsable.push_back(&worker);
    }
  }
  for (std::size_t place = 0; place < mUsable.size(); ++place) {
    mUsable[place]->mOrder =
      static_cast<double>(place) / static_cast<double>(mUsable.size());
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
        mAdvice.AskAhead(aJob, key, aNow.mSteady);
        continue;
      }
      if (!step.mReadyAt.has_value()) {
        step.mReadyAt = aNow.mSteady;
      }
      aCandidates.push_back(
        { .mJob = &aJob,
          .mStep = &step,
          .mKey = key,
          .mUrgency = RankOf(mCell.mOptions.mOrder, aJob, key, aNow) });
    }
  }
}

bool
Dispatcher::IsWorthTrying(const Candidate& aCandidate) const
{
  const Step& step = *aCandidate.mStep;
  if (step.mTriedAt >= mCell.mFleet.Changes()) {
    return false;
  }
  if (!aCandidate.mJob->mRecord.mQueue.mAdvice.has_value()) {
    return true;
  }
  return std::any_of(step.mAdvice.mApproved.begin(),
                     step.mAdvice.mApproved.end(),
                     [&step](const Approval& aApproval) {
                       return aApproval.mWorker->mGainedAt > step.mTriedAt;
                     });
}

bool
Dispatcher::MayUse(const Worker& aWorker,
                   const QueuePolicy& aQueue,
                   const StepSpec& aSpec)
{
  const WorkerEntry& entry = aWorker.mEntry;
  const bool labelled = aSpec.mRequiredLabel.empty() ||
                        aSpec.mRequiredLabel == entry.mKind ||
                        aSpec.mRequiredLabel == entry.mRack.mValue;
  return aWorker.mWasUsable && labelled && entry.mPool == aQueue.mPool;
}

std::vector<Worker*>
Dispatcher::ApprovedWorkers(const Candidate& aCandidate) const
{
  const QueuePolicy& queue = aCandidate.mJob->mRecord.mQueue;
  const StepSpec& spec = SpecOf(*aCandidate.mJob, aCandidate.mKey);
  std::vector<Worker*> workers;
  const auto add = [&](Worker* aWorker) {
    if (MayUse(*aWorker, queue, spec)) {
      workers.push_back(aWorker);
    }
  };
  if (!queue.mAdvice.has_value()) {
    std::for_each(mUsable.begin(), mUsable.end(), add);
    return workers;
  }
  for (const Approval& approval : aCandidate.mStep->mAdvice.mApproved) {
    add(approval.mWorker);
  }
  return workers;
}

std::vector<Dispatcher::Place>
Dispatcher::AllowedPlaces(const Candidate& aCandidate, TimePoint aNow) const
{
  const QueuePolicy& queue = aCandidate.mJob->mRecord.mQueue;
  const StepSpec& spec = SpecOf(*aCandidate.mJob, aCandidate.mKey);
  std::vector<Place> allowed;
  if (!queue.mAdvice.has_value()) {
    for (Worker* worker : mUsable) {
      if (MayUse(*worker, queue, spec)) {
        allowed.push_back({ .mWorker = worker, .mTicket = nullptr });
      }
    }
    return allowed;
  }
  for (const Approval& approval : aCandidate.mStep->mAdvice.mApproved) {
    if (approval.mUsableUntil > aNow &&
        MayUse(*approval.mWorker, queue, spec)) {
      allowed.push_back(
        { .mWorker = approval.mWorker, .mTicket = &approval.mTicket });
    }
  }
  return allowed;
}

bool
Dispatcher::IsBelowLimit(const Place& aPlace,
                         const StepKey& aStep,
                         const StepSpec& aSpec)
{
  if (aSpec.mMostPerWorker == 0) {
    return true;
  }
  const auto here = std::count_if(
    aPlace.mWorker->mRuns.begin(),
    aPlace.mWorker->mRuns.end(),
    [&](const RunPointer& aRun) { return aRun->mTask.mStep == aStep; });
  return here + aPlace.mPlanned < aSpec.mMostPerWorker;
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

Dispatcher::Place*
Dispatcher::Choose(const Candidate& aCandidate, std::vector<Place>& aAllowed)
{
  const StepSpec& spec = SpecOf(*aCandidate.mJob, aCandidate.mKey);
  const bool ample = HasAmpleSlack(*aCandidate.mJob, aCandidate.mUrgency);
  Place* best = nullptr;
  double bestCost = 0;
  for (Place& place : aAllowed) {
    const Worker& worker = *place.mWorker;
    if (!worker.HasRoomFor(spec.mResources) ||
        !IsBelowLimit(place, aCandidate.mKey, spec) ||
        (worker.mHealth.mOnTrial && !worker.mRuns.empty())) {
      continue;
    }
    if (!spec.mGang && worker.mOrder > mSinglesShare && ample) {
      mHeldBack = true;
      continue;
    }
    if (!mGangRoom.Allows(&worker, spec)) {
      mHeldBack = true;
      continue;
    }
    const double cost = Cost(worker, spec);
    if (best == nullptr || cost < bestCost) {
      best = &place;
      bestCost = cost;
    }
  }
  return best;
}

// What is held back for others only for now is tried again.
void
Dispatcher::NoteInVain(Step& aStep) const
{
  if (!mHeldBack) {
    aStep.mTriedAt = mCell.mFleet.Changes();
  }
}

void
Dispatcher::PlaceEach(const Candidate& aCandidate, const Moment& aNow)
{
  std::vector<Place> allowed = AllowedPlaces(aCandidate, aNow.mSteady);
  std::vector<Task>& tasks = aCandidate.mStep->mTasks;
  for (std::size_t index = 0; index < tasks.size(); ++index) {
    if (!tasks[index].IsWaiting()) {
      continue;
    }
    const Place* place = Choose(aCandidate, allowed);
    if (place == nullptr) {
      NoteInVain(*aCandidate.mStep);
      return;
    }
    if (!aCandidate.mStep->HasRuns() && aCandidate.mStep->mSucceeded == 0) {
      NoteStarted(aCandidate, allowed.size(), aNow);
    }
    StartOn(aCandidate,
            static_cast<int>(index),
            mRuns.NextNumber(tasks[index]),
            *place,
            tasks[index].mCheckpoint,
            aNow.mSteady);
  }
}

// For the first start of each step.
void
Dispatcher::NoteStarted(const Candidate& aCandidate,
                        std::size_t aAllowed,
                        const Moment& aNow) const
{
  const auto millis = [](Duration aTime) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
  };
  const Duration waited = aNow.mSteady - *aCandidate.mStep->mReadyAt;
  mCell.mHooks.mOnStepStarted(waited);
  LogInfo("step_started")
    .With("step", aCandidate.mKey.ToText())
    .With("queue", aCandidate.mJob->mRecord.mQueue.mName)
    .With("tasks", aCandidate.mStep->mTasks.size())
    .With("waited_ms", millis(waited))
    .With("slack_ms", millis(aCandidate.mUrgency.mSlack))
    .With("workers_allowed", aAllowed)
    .With("workers_asked", aCandidate.mStep->mAdvice.mAsked.size());
}

void
Dispatcher::PlaceGang(const Candidate& aCandidate, const Moment& aNow)
{
  std::vector<Place> allowed = AllowedPlaces(aCandidate, aNow.mSteady);
  const StepSpec& spec = SpecOf(*aCandidate.mJob, aCandidate.mKey);
  std::vector<Task>& tasks = aCandidate.mStep->mTasks;
  std::vector<const Place*> chosen;
  // Reserves room as it goes, and gives it back below.
  for (std::size_t index = 0; index < tasks.size(); ++index) {
    Place* place = Choose(aCandidate, allowed);
    if (place == nullptr) {
      break;
    }
    ++place->mPlanned;
    place->mWorker->mUsed += spec.mResources;
    chosen.push_back(place);
  }
  for (const Place* place : chosen) {
    place->mWorker->mUsed -= spec.mResources;
  }
  if (chosen.size() < tasks.size()) {
    NoteInVain(*aCandidate.mStep);
    return;
  }
  NoteStarted(aCandidate, allowed.size(), aNow);
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
                    const Place& aPlace,
                    const std::string& aCheckpoint,
                    TimePoint aNow)
{
  const StepSpec& spec = SpecOf(*aCandidate.mJob, aCandidate.mKey);
  mGangRoom.NotePlaced(aPlace.mWorker, spec);
  mRuns.Start(*aCandidate.mJob,
              { .mStep = aCandidate.mKey, .mIndex = aIndex },
              aNumber,
              *aPlace.mWorker,
              aPlace.mTicket == nullptr ? std::string() : *aPlace.mTicket,
              aCheckpoint,
              aNow);
}

} // namespace oriolevane::jobs
