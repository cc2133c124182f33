#include "crashes/workerfailures.h"

#include <algorithm>
#include <chrono>

namespace oriolevane::crashes {

namespace {

using namespace std::chrono_literals;

// Workers with runs answer at least this often while all is well.
constexpr std::chrono::milliseconds kMaxBusyAnswerInterval = 1000ms;
// A cell is sound if at most one of kSoundWorkersPerFailure workers has failed
// within this time.
constexpr std::chrono::milliseconds kSoundTime = 30000ms;
constexpr std::size_t kSoundWorkersPerFailure = 20;
// What a crash shows is asked for up to this time after it.
constexpr std::chrono::milliseconds kMaxCrashAge = 60000ms;

} // namespace

void
WorkerFailures::Observe(TimePoint aNow)
{
  if (!mObservedSince.has_value()) {
    mObservedSince = aNow;
  }
  mNow = aNow;
  std::erase_if(mEntries, [aNow](const Entry& aEntry) {
    return aEntry.mFailure.mLastAnswer + kMaxCrashAge + kSoundTime < aNow;
  });
}

WorkerFailures::Entry*
WorkerFailures::Find(const WorkerId& aWorker, TimePoint aLastAnswer)
{
  const auto found = std::ranges::find_if(mEntries, [&](const Entry& aEntry) {
    return aEntry.mFailure.mWorker == aWorker &&
           aEntry.mFailure.mLastAnswer == aLastAnswer;
  });
  return found == mEntries.end() ? nullptr : &*found;
}

void
WorkerFailures::NoteSilence(const WorkerFailure& aFailure)
{
  if (Find(aFailure.mWorker, aFailure.mLastAnswer) == nullptr) {
    mEntries.push_back({ .mFailure = aFailure });
  }
}

void
WorkerFailures::NoteRestart(const WorkerFailure& aFailure)
{
  if (Entry* known = Find(aFailure.mWorker, aFailure.mLastAnswer);
      known != nullptr) {
    known->mRestarted = true;
    return;
  }
  mEntries.push_back({ .mFailure = aFailure, .mRestarted = true });
}

void
WorkerFailures::NoteReturn(const WorkerId& aWorker)
{
  std::erase_if(mEntries, [&aWorker](const Entry& aEntry) {
    return aEntry.mFailure.mWorker == aWorker && !aEntry.mRestarted;
  });
}

void
WorkerFailures::MarkExplained(const WorkerId& aWorker, TimePoint aLastAnswer)
{
  if (Entry* known = Find(aWorker, aLastAnswer); known != nullptr) {
    known->mExplained = true;
  }
}

Duration
WorkerFailures::TimeSinceFailure(TimePoint aNow, bool aAll) const
{
  TimePoint last = mObservedSince.value_or(aNow);
  for (const Entry& entry : mEntries) {
    if (aAll || entry.MayShareCause()) {
      last = std::max(last, entry.mFailure.mLastAnswer);
    }
  }
  return aNow - last;
}

Duration
WorkerFailures::CalmFor(TimePoint aNow) const
{
  return TimeSinceFailure(aNow, false);
}

Duration
WorkerFailures::QuietFor(TimePoint aNow) const
{
  return TimeSinceFailure(aNow, true);
}

CrashEvidence
WorkerFailures::EvidenceOf(const WorkerId& aWorker,
                           TimePoint aLastAnswer,
                           const std::set<WorkerId>& aWorkersOfTask,
                           std::size_t aCellSize) const
{
  if (!mObservedSince.has_value() ||
      *mObservedSince + kMaxAnswerInterval > aLastAnswer ||
      aLastAnswer + kMaxCrashAge < mNow) {
    return CrashEvidence::Inconclusive;
  }
  std::size_t failures = 0;
  for (const Entry& entry : mEntries) {
    const WorkerFailure& other = entry.mFailure;
    const bool same =
      other.mWorker == aWorker && other.mLastAnswer == aLastAnswer;
    if (same || !entry.MayShareCause()) {
      continue;
    }
    // The worker had a run, the other one may have been idle.
    if (other.mLastAnswer >= aLastAnswer - kMaxAnswerInterval &&
        other.mLastAnswer <= aLastAnswer + kMaxBusyAnswerInterval) {
      return CrashEvidence::Inconclusive;
    }
    if (other.mLastAnswer < aLastAnswer &&
        other.mLastAnswer + kSoundTime > aLastAnswer &&
        !aWorkersOfTask.contains(other.mWorker)) {
      ++failures;
    }
  }
  return failures * kSoundWorkersPerFailure <= aCellSize
           ? CrashEvidence::LoneCrashInSoundCell
           : CrashEvidence::LoneCrash;
}

} // namespace oriolevane::crashes
