#include "jobs/internal/singletasklimits.h"

#include <algorithm>
#include <map>

#include "jobs/internal/reservation.h"

namespace oriolevane::jobs {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds kAmpleSlack = 4000ms;
// Ample slack as a share of the job's objective. Slack must exceed both limits.
constexpr double kAmpleSlackShare = 0.35;
// Limits of the share of a group's processors that single tasks may use.
constexpr double kMaxSingleTaskShare = 0.45;
constexpr double kMinSingleTaskShare = 0.2;

using Gangs = std::vector<const StepSpec*>;

// What the worker's tasks take that run until their job is cancelled.
Resources
UsedForGood(const Worker& aWorker)
{
  Resources used;
  for (const RunPointer& run : aWorker.mRuns) {
    used +=
      run->mLongRunning && !run->mStopWanted ? run->mResources : Resources();
  }
  return used;
}

// True when the workers could hold all members once their other runs have
// ended.
bool
CouldHold(const std::vector<Worker*>& aWorkers, const StepSpec& aGang)
{
  int missing = aGang.mTaskCount;
  for (const Worker* worker : aWorkers) {
    const int limit =
      aGang.mMaxPerWorker > 0 ? aGang.mMaxPerWorker : aGang.mTaskCount;
    missing -= TasksThatFit(
      worker->mEntry.mCapacity, UsedForGood(*worker), aGang.mResources, limit);
    if (missing <= 0) {
      return true;
    }
  }
  return false;
}

std::int64_t
MilliCoresOf(const std::vector<Worker*>& aWorkers)
{
  std::int64_t sum = 0;
  for (const Worker* worker : aWorkers) {
    sum += worker->mEntry.mCapacity.mMilliCores;
  }
  return sum;
}

// The share of the workers' processors that single tasks may use.
double
SingleTaskShare(const std::vector<Worker*>& aWorkers,
                const Gangs& aGangs,
                double aMilliCores)
{
  double waiting = 0;
  for (const StepSpec* gang : aGangs) {
    if (waiting >= (kMaxSingleTaskShare - kMinSingleTaskShare) * aMilliCores) {
      // Further gangs change nothing.
      break;
    }
    if (CouldHold(aWorkers, *gang)) {
      waiting +=
        static_cast<double>(gang->mResources.mMilliCores) * gang->mTaskCount;
    }
  }
  return waiting == 0 ? 1.0
                      : std::clamp(kMaxSingleTaskShare - waiting / aMilliCores,
                                   kMinSingleTaskShare,
                                   kMaxSingleTaskShare);
}

// Leaves the workers after the first ones to the gangs of their group.
void
LeaveGroup(const std::vector<Worker*>& aWorkers, const Gangs& aGangs)
{
  const auto all = static_cast<double>(MilliCoresOf(aWorkers));
  if (all <= 0) {
    return;
  }
  const double share = SingleTaskShare(aWorkers, aGangs, all);
  std::int64_t before = 0;
  for (Worker* worker : aWorkers) {
    worker->mLeftToGangs |= static_cast<double>(before) / all > share;
    before += worker->mEntry.mCapacity.mMilliCores;
  }
}

} // namespace

bool
HasAmpleSlack(const Candidate& aCandidate)
{
  const Duration slack = aCandidate.mUrgency.mSlack;
  return slack > kAmpleSlack &&
         slack > aCandidate.mJob->mTimes.mObjective * kAmpleSlackShare;
}

void
LeaveWorkersToGangs(const std::vector<Candidate>& aWaitingGangs,
                    const std::vector<Worker*>& aUsable)
{
  for (Worker* worker : aUsable) {
    worker->mLeftToGangs = false;
  }
  std::map<WorkerGroup, Gangs> groups;
  for (const Candidate& gang : aWaitingGangs) {
    const QueuePolicy& queue = gang.mJob->mRecord.mQueue;
    groups[GroupOf(queue, gang.Spec())].push_back(&gang.Spec());
  }
  for (const auto& [group, gangs] : groups) {
    std::vector<Worker*> workers;
    std::copy_if(
      aUsable.begin(),
      aUsable.end(),
      std::back_inserter(workers),
      [&](const Worker* aWorker) { return group.Contains(*aWorker); });
    LeaveGroup(workers, gangs);
  }
}

void
OpenSomeWorkers(const WorkerGroup& aGroup,
                const std::vector<Worker*>& aUsable,
                std::vector<EligibleWorker>& aEligible)
{
  const bool hasOpen = std::any_of(
    aUsable.begin(), aUsable.end(), [&aGroup](const Worker* aWorker) {
      return !aWorker->mLeftToGangs && aGroup.Contains(*aWorker);
    });
  if (hasOpen) {
    return;
  }
  double all = 0;
  for (const EligibleWorker& choice : aEligible) {
    all += static_cast<double>(choice.mWorker->mEntry.mCapacity.mMilliCores);
  }
  double before = 0;
  for (EligibleWorker& choice : aEligible) {
    choice.mLeftToGangs = before > kMinSingleTaskShare * all;
    before += static_cast<double>(choice.mWorker->mEntry.mCapacity.mMilliCores);
  }
}

} // namespace oriolevane::jobs
