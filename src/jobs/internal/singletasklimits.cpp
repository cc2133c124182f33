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

// Bounds for the time of a pass. The most urgent gangs come first.
constexpr std::size_t kMaxGroups = 64;
constexpr std::size_t kMaxGangsOfGroup = 100;

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

// The workers that the gangs of a group could use.
struct GroupWorkers
{
  std::vector<Worker*> mWorkers;
  // What remains in use on each of them.
  std::vector<Resources> mUsedForGood;
  std::int64_t mMilliCores = 0;

  void Add(Worker* aWorker)
  {
    mWorkers.push_back(aWorker);
    mUsedForGood.push_back(UsedForGood(*aWorker));
    mMilliCores += aWorker->mEntry.mCapacity.mMilliCores;
  }
  // True when they could hold all members once their other runs have ended.
  bool CouldHold(const StepSpec& aGang) const
  {
    const int limit =
      aGang.mMaxPerWorker > 0 ? aGang.mMaxPerWorker : aGang.mTaskCount;
    int missing = aGang.mTaskCount;
    for (std::size_t index = 0; index < mWorkers.size() && missing > 0;
         ++index) {
      missing -= TasksThatFit(mWorkers[index]->mEntry.mCapacity,
                              mUsedForGood[index],
                              aGang.mResources,
                              limit);
    }
    return missing <= 0;
  }
};

// The share of the group's processors that single tasks may use.
double
SingleTaskShare(const GroupWorkers& aGroup, const Gangs& aGangs)
{
  constexpr double kMaxWaitingShare = kMaxSingleTaskShare - kMinSingleTaskShare;
  const auto all = static_cast<double>(aGroup.mMilliCores);
  double waiting = 0;
  for (const StepSpec* gang : aGangs) {
    if (waiting >= kMaxWaitingShare * all) {
      // Further gangs change nothing.
      break;
    }
    if (aGroup.CouldHold(*gang)) {
      waiting +=
        static_cast<double>(gang->mResources.mMilliCores) * gang->mTaskCount;
    }
  }
  return waiting == 0 ? 1.0
                      : std::clamp(kMaxSingleTaskShare - waiting / all,
                                   kMinSingleTaskShare,
                                   kMaxSingleTaskShare);
}

// Leaves the workers after the first ones to the gangs of their group.
void
LeaveToGangs(const GroupWorkers& aGroup, const Gangs& aGangs)
{
  if (aGroup.mMilliCores <= 0) {
    return;
  }
  const auto all = static_cast<double>(aGroup.mMilliCores);
  const double share = SingleTaskShare(aGroup, aGangs);
  std::int64_t before = 0;
  for (Worker* worker : aGroup.mWorkers) {
    worker->mLeftToGangs |= static_cast<double>(before) / all > share;
    before += worker->mEntry.mCapacity.mMilliCores;
  }
}

std::map<WorkerGroup, Gangs>
GroupGangs(const std::vector<Candidate>& aGangs)
{
  std::map<WorkerGroup, Gangs> groups;
  for (const Candidate& gang : aGangs) {
    const WorkerGroup group = GroupOf(gang.mJob->mRecord.mQueue, gang.Spec());
    if (groups.size() >= kMaxGroups && !groups.contains(group)) {
      continue;
    }
    Gangs& gangs = groups[group];
    if (gangs.size() < kMaxGangsOfGroup) {
      gangs.push_back(&gang.Spec());
    }
  }
  return groups;
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
  for (const auto& [group, gangs] : GroupGangs(aWaitingGangs)) {
    GroupWorkers workers;
    for (Worker* worker : aUsable) {
      if (group.Contains(*worker)) {
        workers.Add(worker);
      }
    }
    LeaveToGangs(workers, gangs);
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
