#include "crashes/taskcrashes.h"

#include <algorithm>

namespace oriolevane::crashes {

namespace {

// From this many crashes and losses on, a task starts in isolation.
constexpr std::size_t kMinLossesToIsolate = 2;
// A task is given up only if this many workers crashed under it with evidence
// against it. One crash at a bad moment may happen to any task.
constexpr std::size_t kMinWorkers = 2;
// So many crashes are needed altogether in a cell that is sound otherwise.
constexpr std::size_t kMinCrashes = 3;
// In a cell whose workers fail more often, either so many crashes are needed
// altogether or the evidence of one more worker.
constexpr std::size_t kMinCrashesInUnsoundCell = 5;

} // namespace

bool
TaskCrashes::AddCrash(RunNumber aRun, const Crash& aCrash)
{
  mLosses.erase(aRun);
  return mCrashes.try_emplace(aRun, aCrash).second;
}

bool
TaskCrashes::RaiseEvidence(RunNumber aRun, CrashEvidence aEvidence)
{
  Crash& crash = mCrashes.at(aRun);
  if (aEvidence <= crash.mEvidence) {
    return false;
  }
  crash.mEvidence = aEvidence;
  return true;
}

void
TaskCrashes::Clear()
{
  mCrashes.clear();
  mLosses.clear();
}

bool
TaskCrashes::NeedsIsolation() const
{
  return mCrashes.size() + mLosses.size() >= kMinLossesToIsolate;
}

bool
TaskCrashes::IsGivenUp() const
{
  if (mCrashes.size() < kMinCrashes) {
    return false;
  }
  const std::size_t workers = CountWorkers(CrashEvidence::LoneCrash);
  return CountWorkers(CrashEvidence::LoneCrashInSoundCell) >= kMinWorkers ||
         workers > kMinWorkers ||
         (workers == kMinWorkers &&
          mCrashes.size() >= kMinCrashesInUnsoundCell);
}

bool
TaskCrashes::HasEvidenceOn(const WorkerId& aWorker) const
{
  return std::ranges::any_of(mCrashes, [&aWorker](const auto& aEntry) {
    return aEntry.second.mWorker == aWorker &&
           aEntry.second.mEvidence != CrashEvidence::Inconclusive;
  });
}

bool
TaskCrashes::HasCrashed(const WorkerId& aWorker) const
{
  return std::ranges::any_of(mCrashes, [&aWorker](const auto& aEntry) {
    return aEntry.second.mWorker == aWorker;
  });
}

std::set<WorkerId>
TaskCrashes::Workers() const
{
  std::set<WorkerId> workers;
  for (const auto& [run, crash] : mCrashes) {
    workers.insert(crash.mWorker);
  }
  return workers;
}

std::size_t
TaskCrashes::CountWorkers(CrashEvidence aMinimum) const
{
  std::set<WorkerId> workers;
  for (const auto& [run, crash] : mCrashes) {
    if (crash.mEvidence >= aMinimum) {
      workers.insert(crash.mWorker);
    }
  }
  return workers.size();
}

} // namespace oriolevane::crashes
