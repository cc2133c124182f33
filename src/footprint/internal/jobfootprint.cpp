#include "footprint/jobfootprint.h"

namespace oriolevane::footprint {

namespace {

// A task with the record of its run, or with its checkpoint and run time.
constexpr std::int64_t kBytesPerTask = 640;
// A step of an occurrence, and its specification.
constexpr std::int64_t kBytesPerOpenStep = 384;
constexpr std::int64_t kBytesPerStep = 256;
constexpr std::int64_t kBytesPerDependency = 8;
constexpr std::int64_t kBytesPerJob = 2560;
// A text is also in the orders and records that are being sent.
constexpr std::int64_t kCopiesOfTexts = 2;

} // namespace

JobFootprint
EstimateFootprint(const JobDimensions& aJob)
{
  const std::int64_t perOccurrence =
    aJob.mTasks * kBytesPerTask + aJob.mSteps * kBytesPerOpenStep;
  return { .mBytes =
             kBytesPerJob + aJob.mOccurrences * perOccurrence +
             aJob.mSteps * kBytesPerStep +
             aJob.mDependencies * kBytesPerDependency +
             kCopiesOfTexts * static_cast<std::int64_t>(aJob.mTextBytes),
           .mOpenSteps = aJob.mOccurrences * aJob.mSteps };
}

} // namespace oriolevane::footprint
