#include "crashes/taskcrashes.h"

#include <chrono>
#include <cstddef>

namespace oriolevane::crashes {

namespace {

// A task is given up after this many crashes even if other jobs could have
// caused all of them. The limit of starts is two more, which leaves room for
// crashes that an owner did not record before it stopped.
constexpr std::size_t kMaxCrashes = 3;
// A task is given up after this many crashes if only its own job can
// have caused the last one. One crash may have a cause of its own.
constexpr std::size_t kMaxCrashesAlone = 2;

// A task is given up after this many crashes if unconfirmed starts are among
// them. A lower limit failed innocent jobs whose starts were sent to workers
// that had crashed shortly before.
constexpr std::size_t kMaxStarts = 5;
// Workers answer at least this often while all is well, since a long poll of a
// worker without runs takes up to 2 s. The last answers of workers that fail
// together are not further apart.
constexpr std::chrono::milliseconds kMaxAnswerInterval{ 2500 };

} // namespace

bool
MayHaveFailedTogether(TimePoint aLastAnswer, TimePoint aOtherLastAnswer)
{
  return std::chrono::abs(aLastAnswer - aOtherLastAnswer) <= kMaxAnswerInterval;
}

bool
TaskCrashes::AddCrash(RunNumber aRun, CrashEvidence aEvidence)
{
  mLosses.erase(aRun);
  if (aEvidence == CrashEvidence::UnconfirmedStart) {
    return mUnconfirmedRuns.insert(aRun).second;
  }
  if (!mRuns.insert(aRun).second) {
    return false;
  }
  if (aEvidence == CrashEvidence::OneJob && mRuns.size() >= kMaxCrashesAlone) {
    mCrashedAgainAlone = true;
  }
  return true;
}

bool
TaskCrashes::IsGivenUp() const
{
  return mCrashedAgainAlone || mRuns.size() >= kMaxCrashes ||
         mRuns.size() + mUnconfirmedRuns.size() >= kMaxStarts;
}

} // namespace oriolevane::crashes
