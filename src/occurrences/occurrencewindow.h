// Decides which occurrences of a repeated job are open at the same time.
// Deterministic.
//
// A schedule may have any number of occurrences, all of them due at once when
// it began long ago. So that the memory and the records of a job stay bounded,
// only those in a window are open. The window moves on when the store holds
// the number up to which all occurrences have finished.
#pragma once

#include <cstdint>
#include <set>

namespace oriolevane::occurrences {

struct OccurrenceWindowOptions
{
  // Number of occurrences of the schedule.
  int mCount = 1;
  // Number of tasks and of steps of each occurrence.
  std::int64_t mTasks = 1;
  std::int64_t mSteps = 1;
  // The store shows that all occurrences below this number have finished.
  int mFinishedBefore = 0;
};

class OccurrenceWindow
{
public:
  explicit OccurrenceWindow(const OccurrenceWindowOptions& aOptions = {});

  // The first occurrence of the window. All earlier ones have finished, and
  // the store shows it.
  int Begin() const { return mBegin; }
  // The first occurrence after the window.
  int End() const;
  // True for an occurrence of the schedule that is not before the window.
  bool IsAhead(int aNumber) const
  {
    return mBegin <= aNumber && aNumber < mCount;
  }
  // Marks an occurrence as finished. Has no effect when it is marked already.
  void Finish(int aNumber);
  // True when all occurrences of the schedule have finished.
  bool IsComplete() const { return mFinishedBefore == mCount; }
  // All occurrences below this number have finished.
  int FinishedBefore() const { return mFinishedBefore; }
  // True when enough occurrences have finished for FinishedBefore() to be
  // written to the store.
  bool IsWorthRecording() const;
  // Moves the window on, once the store holds FinishedBefore() as it was then.
  void OnRecorded(int aFinishedBefore);

private:
  int mCount = 1;
  int mSpan = 1;
  int mBegin = 0;
  int mFinishedBefore = 0;
  // Finished occurrences after an unfinished one.
  std::set<int> mFinishedLater;
};

} // namespace oriolevane::occurrences
