#include "progress/runprogress.h"

namespace oriolevane::progress {

namespace {

constexpr int kComplete = 100;
// With fewer points, the rounding of the percentage distorts the prediction.
constexpr int kMinProgress = 5;

} // namespace

void
RunProgress::Report(int aPercent, TimePoint aNow)
{
  // Until its progress rises, the run is still being prepared.
  if (!mFirst.has_value() || aPercent <= mFirst->mPercent) {
    mFirst = Reading{ .mPercent = aPercent, .mAt = aNow };
    mLast = *mFirst;
    return;
  }
  if (aPercent > mLast.mPercent) {
    mLast = { .mPercent = aPercent, .mAt = aNow };
  }
}

std::optional<TimePoint>
RunProgress::ExpectedEnd() const
{
  if (!mFirst.has_value() || mLast.mPercent - mFirst->mPercent < kMinProgress) {
    return std::nullopt;
  }
  const int done = mLast.mPercent - mFirst->mPercent;
  return mFirst->mAt +
         (mLast.mAt - mFirst->mAt) * (kComplete - mFirst->mPercent) / done;
}

} // namespace oriolevane::progress
