#include "jobs/internal/isolatedstarts.h"

#include <algorithm>
#include <set>

#include "framework/log.h"

namespace oriolevane::jobs {

namespace {

using namespace std::chrono_literals;

// How long a task under which one worker crashed waits to start apart.
constexpr std::chrono::milliseconds kMaxWaitAfterOneCrash = 2000ms;
// How long a task waits to be isolated, by the number of its crashes.
constexpr std::chrono::milliseconds kMaxWait = 15000ms;
constexpr std::chrono::milliseconds kMaxWaitAfterManyCrashes = 60000ms;
// The same while more steps wait than can be isolated soon. Most of their tasks
// did not cause the crashes then.
constexpr std::chrono::milliseconds kMaxWaitInCrowd = 2000ms;
constexpr std::chrono::milliseconds kMaxWaitAfterSeveralCrashesInCrowd =
  10000ms;
constexpr std::chrono::milliseconds kMaxWaitAfterManyCrashesInCrowd = 30000ms;
// Number of waiting steps, for each job that can be isolated at a time, above
// which the shorter waits apply.
constexpr std::size_t kStepsPerExclusionInCrowd = 4;
// The longest wait of long-running tasks, which are missed meanwhile.
constexpr std::chrono::milliseconds kMaxLongRunningWait = 3000ms;
constexpr std::size_t kSeveralCrashes = 3;
// From this many crashes on, a task waits until no worker has failed for
// kQuietTime. What others cause meanwhile may explain some of its crashes.
constexpr std::size_t kManyCrashes = 5;
constexpr std::chrono::milliseconds kQuietTime = 10000ms;
// The time within which a worker confirms a start.
constexpr std::chrono::milliseconds kMaxConfirmation = 2000ms;
// A wait is forgotten when the step has not been tried again for this long.
constexpr std::chrono::milliseconds kWaitMemory = 1000ms;
// Number of workers in the cell for each job that may keep a worker for itself,
// and the least number of such jobs.
constexpr std::size_t kWorkersPerExclusion = 4;
constexpr std::size_t kMinExclusions = 3;
// Number of workers in the cell for each one with an isolated task. The workers
// without one show whether workers crash for other reasons.
constexpr std::size_t kWorkersPerIsolation = 2;

bool
HasManyCrashes(const Task& aTask)
{
  return aTask.mCrashes.Crashes().size() >= kManyCrashes;
}

std::chrono::milliseconds
ToMilliseconds(Duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime);
}

} // namespace

void
IsolatedStarts::BeginPass(std::size_t aWorkers, TimePoint aNow)
{
  mNow = aNow;
  mWorkers = aWorkers;
  mCalmFor = mFailures.CalmFor(aNow);
  mQuietFor = mFailures.QuietFor(aNow);
  std::erase_if(mIsolations, [aNow](const auto& aEntry) {
    return aEntry.second.mUntil <= aNow;
  });
  std::erase_if(mWaits, [aNow](const auto& aEntry) {
    return aEntry.second.mSeenAt + kWaitMemory <= aNow;
  });
}

StartRule
IsolatedStarts::RuleFor(const StepKey& aStep,
                        const StepSpec& aSpec,
                        const Task& aTask)
{
  if (!aTask.mCrashes.IsSuspected()) {
    return StartRule::Anywhere;
  }
  Wait& wait =
    mWaits.try_emplace(aStep, Wait{ .mSince = mNow, .mSeenAt = mNow })
      .first->second;
  wait.mSeenAt = mNow;
  if (mNow - wait.mSince >= MaxWait(aSpec, aTask)) {
    return StartRule::Anywhere;
  }
  if (!aTask.mCrashes.NeedsIsolation()) {
    return StartRule::Apart;
  }
  mMayIsolate = MayIsolate(aStep.mJob);
  return IsGoodTime(aTask) ? StartRule::Isolated : StartRule::Nowhere;
}

std::chrono::milliseconds
IsolatedStarts::MaxWait(const StepSpec& aSpec, const Task& aTask) const
{
  if (aSpec.mLongRunning) {
    return kMaxLongRunningWait;
  }
  const bool crowd =
    mWaits.size() > kStepsPerExclusionInCrowd * MaxExclusions();
  if (!aTask.mCrashes.NeedsIsolation()) {
    return crowd ? 0ms : kMaxWaitAfterOneCrash;
  }
  if (HasManyCrashes(aTask)) {
    return crowd ? kMaxWaitAfterManyCrashesInCrowd : kMaxWaitAfterManyCrashes;
  }
  if (aTask.mCrashes.Crashes().size() >= kSeveralCrashes) {
    return crowd ? kMaxWaitAfterSeveralCrashesInCrowd : kMaxWait;
  }
  return crowd ? kMaxWaitInCrowd : kMaxWait;
}

bool
IsolatedStarts::IsGoodTime(const Task& aTask) const
{
  return mCalmFor >= crashes::kMaxAnswerInterval &&
         (!HasManyCrashes(aTask) || mQuietFor >= kQuietTime);
}

bool
IsolatedStarts::Allows(const JobId& aJob, const WorkerId& aWorker) const
{
  const auto found = mIsolations.find(aWorker);
  return found == mIsolations.end() || found->second.mJob == aJob ||
         !found->second.mExclusive;
}

bool
IsolatedStarts::IsIsolatedFor(const JobId& aJob, const WorkerId& aWorker) const
{
  const auto found = mIsolations.find(aWorker);
  return found != mIsolations.end() && found->second.mExclusive &&
         found->second.mJob == aJob;
}

bool
IsolatedStarts::MayIsolate(const JobId& aJob) const
{
  std::set<JobId> jobs{ aJob };
  std::size_t workers = 0;
  for (const auto& [worker, isolation] : mIsolations) {
    if (isolation.mExclusive && !isolation.mUnreachable) {
      jobs.insert(isolation.mJob);
      ++workers;
    }
  }
  return jobs.size() <= MaxExclusions() && workers < MaxIsolations();
}

std::size_t
IsolatedStarts::MaxIsolations() const
{
  return std::max<std::size_t>(1, mWorkers / kWorkersPerIsolation);
}

std::size_t
IsolatedStarts::MaxExclusions() const
{
  return std::min(MaxIsolations(),
                  std::max(kMinExclusions, mWorkers / kWorkersPerExclusion));
}

bool
IsolatedStarts::MakeRoom(bool aExclusive)
{
  const std::size_t started =
    std::ranges::count_if(mIsolations, [](const auto& aEntry) {
      return aEntry.second.mStarted && !aEntry.second.mUnreachable;
    });
  if (started < MaxIsolations()) {
    return true;
  }
  const auto other = std::ranges::find_if(mIsolations, [](const auto& aEntry) {
    return !aEntry.second.mExclusive && !aEntry.second.mUnreachable;
  });
  if (!aExclusive || other == mIsolations.end()) {
    return false;
  }
  mIsolations.erase(other);
  return true;
}

bool
IsolatedStarts::Suits(StartRule aRule,
                      const JobId& aJob,
                      const Task& aTask,
                      const Worker& aWorker) const
{
  switch (aRule) {
    case StartRule::Anywhere:
      return true;
    case StartRule::Apart:
      return !aWorker.HasYoungRunsOfOthers(aJob, mNow);
    case StartRule::Isolated:
      return (mMayIsolate || IsIsolatedFor(aJob, aWorker.Id())) &&
             !aTask.mCrashes.HasEvidenceOn(aWorker.Id()) &&
             !aWorker.HasYoungRunsOfOthers(aJob, mNow);
    case StartRule::Nowhere:
      return false;
  }
  return false;
}

void
IsolatedStarts::Hold(const JobId& aJob, const WorkerId& aWorker)
{
  const bool held =
    std::ranges::any_of(mIsolations, [&aJob](const auto& aEntry) {
      return aEntry.second.mJob == aJob && !aEntry.second.mStarted;
    });
  if (!held && MayIsolate(aJob)) {
    mIsolations.try_emplace(
      aWorker, Isolation{ .mJob = aJob, .mUntil = mNow + crashes::kProbation });
  }
}

void
IsolatedStarts::OnStarting(const StepKey& aKey,
                           const Step& aStep,
                           const Task& aTask,
                           const Worker& aWorker)
{
  const JobId& job = aKey.mJob;
  const WorkerId& id = aWorker.Id();
  const auto former = mIsolations.find(id);
  if (former != mIsolations.end() && former->second.mJob != job) {
    mIsolations.erase(former);
  }
  if (!aTask.mCrashes.IsSuspected() ||
      aWorker.HasYoungRunsOfOthers(job, mNow)) {
    return;
  }
  const bool joins = IsIsolatedFor(job, id);
  const bool exclusive = aTask.mCrashes.NeedsIsolation() && IsGoodTime(aTask) &&
                         (joins || MayIsolate(job));
  if (!MakeRoom(exclusive)) {
    return;
  }
  if (exclusive) {
    ReportIsolation(aKey, aStep, id);
  }
  mIsolations[id] = { .mJob = job,
                      .mStarted = true,
                      .mExclusive = exclusive,
                      .mUntil = mNow + kMaxConfirmation + crashes::kProbation };
}

void
IsolatedStarts::ReportIsolation(const StepKey& aKey,
                                const Step& aStep,
                                const WorkerId& aWorker)
{
  const auto wait = mWaits.find(aKey);
  const Duration waited =
    wait == mWaits.end() ? Duration::zero() : mNow - wait->second.mSince;
  LogInfo("step_isolated")
    .With("step", aKey.ToText())
    .With("worker", aWorker)
    .With("waited_ms", ToMilliseconds(waited).count());
  std::erase_if(mIsolations, [&aKey](const auto& aEntry) {
    return aEntry.second.mJob == aKey.mJob && !aEntry.second.mStarted;
  });
  // The other tasks of the step have waited, too.
  if (std::ranges::count_if(aStep.mTasks, &Task::IsWaiting) <= 1) {
    mWaits.erase(aKey);
  }
}

void
IsolatedStarts::OnRunEnded(const JobId& aJob, const Worker& aWorker)
{
  const auto found = mIsolations.find(aWorker.Id());
  if (found == mIsolations.end() || found->second.mJob != aJob ||
      !found->second.mStarted || !aWorker.mReachable) {
    return;
  }
  const bool last =
    std::ranges::none_of(aWorker.mRuns, [&aJob](const RunPointer& aRun) {
      return aRun->mTask.mStep.mJob == aJob;
    });
  if (last) {
    mIsolations.erase(found);
  }
}

void
IsolatedStarts::OnUnreachable(const WorkerId& aWorker)
{
  const auto found = mIsolations.find(aWorker);
  if (found != mIsolations.end()) {
    found->second.mUnreachable = true;
  }
}

bool
IsolatedStarts::IsIsolated(const WorkerId& aWorker) const
{
  const auto found = mIsolations.find(aWorker);
  return found != mIsolations.end() && found->second.mStarted;
}

IsolationWaits
IsolatedStarts::Waits() const
{
  IsolationWaits waits{ .mSteps = mWaits.size() };
  for (const auto& [step, wait] : mWaits) {
    waits.mLongest = std::max(waits.mLongest, mNow - wait.mSince);
  }
  return waits;
}

} // namespace oriolevane::jobs
