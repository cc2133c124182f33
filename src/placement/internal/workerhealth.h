// How a worker's tasks have ended of late.
#pragma once

#include <chrono>
#include <cstdint>

#include "framework/types/timepoint.h"

namespace oriolevane::placement {

enum class HealthState : std::uint8_t
{
  Healthy,
  // Fails everything; no new work until mRetryAt.
  Quarantined,
  // One task at a time shows whether it works again.
  Probing
};

struct WorkerHealth
{
  HealthState mState = HealthState::Healthy;
  // Evidence that it fails regardless of the workload: the cumulative sum of
  // log likelihood ratios, never below zero.
  double mSuspicion = 0;
  // In use, but with one task at a time while it is under suspicion.
  bool mCautious = false;
  TimePoint mRetryAt;
  std::chrono::milliseconds mBackoff{ 0 };
};

} // namespace oriolevane::placement
