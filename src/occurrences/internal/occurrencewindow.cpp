#include "occurrences/occurrencewindow.h"

#include <algorithm>

namespace oriolevane::occurrences {

namespace {

// Limits of a window. One that holds a single occurrence may have more tasks.
constexpr std::int64_t kMaxOccurrences = 128;
constexpr std::int64_t kMaxTasks = 10'000;
constexpr std::int64_t kMaxSteps = 1'000;
// The number of finished occurrences is written once this part of the window
// has finished, to save writes.
constexpr int kRecordedParts = 8;

int
SpanOf(const OccurrenceWindowOptions& aOptions)
{
  const std::int64_t span =
    std::min(kMaxTasks / std::max<std::int64_t>(aOptions.mTasks, 1),
             kMaxSteps / std::max<std::int64_t>(aOptions.mSteps, 1));
  return static_cast<int>(std::clamp<std::int64_t>(span, 1, kMaxOccurrences));
}

} // namespace

OccurrenceWindow::OccurrenceWindow(const OccurrenceWindowOptions& aOptions)
  : mCount(std::max(aOptions.mCount, 1))
  , mSpan(SpanOf(aOptions))
  , mBegin(std::clamp(aOptions.mFinishedBefore, 0, mCount))
  , mFinishedBefore(mBegin)
{
}

int
OccurrenceWindow::End() const
{
  return mBegin + std::min(mSpan, mCount - mBegin);
}

void
OccurrenceWindow::Finish(int aNumber)
{
  if (aNumber < mFinishedBefore || aNumber >= mCount) {
    return;
  }
  mFinishedLater.insert(aNumber);
  while (mFinishedLater.erase(mFinishedBefore) > 0) {
    ++mFinishedBefore;
  }
}

bool
OccurrenceWindow::IsWorthRecording() const
{
  return mFinishedBefore - mBegin >= std::max(mSpan / kRecordedParts, 1);
}

void
OccurrenceWindow::OnRecorded(int aFinishedBefore)
{
  mBegin = std::clamp(aFinishedBefore, mBegin, mFinishedBefore);
}

} // namespace oriolevane::occurrences
