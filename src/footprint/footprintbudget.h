// Bounds what the open jobs of a shard take together. Deterministic.
#pragma once

#include <optional>

#include "footprint/jobfootprint.h"

namespace oriolevane::footprint {

// What the open jobs may take together. Without a value there is no limit.
struct FootprintLimits
{
  std::optional<std::int64_t> mBytes;
  std::optional<std::int64_t> mOpenSteps;
};

// Sums up the footprints of the open jobs.
class FootprintBudget
{
public:
  explicit FootprintBudget(const FootprintLimits& aLimits)
    : mLimits(aLimits)
  {
  }

  // True when a new job does not take the sum over a limit.
  bool HasRoomFor(const JobFootprint& aJob) const
  {
    return IsWithin(mLimits.mBytes, mUsed.mBytes + aJob.mBytes) &&
           IsWithin(mLimits.mOpenSteps, mUsed.mOpenSteps + aJob.mOpenSteps);
  }
  // Jobs that are accepted already are added whether or not there is room.
  void Add(const JobFootprint& aJob)
  {
    mUsed.mBytes += aJob.mBytes;
    mUsed.mOpenSteps += aJob.mOpenSteps;
  }
  void Remove(const JobFootprint& aJob)
  {
    mUsed.mBytes -= aJob.mBytes;
    mUsed.mOpenSteps -= aJob.mOpenSteps;
  }
  const JobFootprint& Used() const { return mUsed; }
  const FootprintLimits& Limits() const { return mLimits; }

private:
  static bool IsWithin(const std::optional<std::int64_t>& aLimit,
                       std::int64_t aValue)
  {
    return !aLimit.has_value() || aValue <= *aLimit;
  }

  FootprintLimits mLimits;
  JobFootprint mUsed;
};

} // namespace oriolevane::footprint
