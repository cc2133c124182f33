// Health of a worker, derived from the results of its recent tasks.
#pragma once

#include <chrono>
#include <cstdint>

#include "framework/types/timepoint.h"

namespace oriolevane::placement {

enum class HealthState : std::uint8_t
{
  Healthy,
  // The worker fails nearly every task and gets no new work until mProbeAt.
  Quarantined,
  // The worker gets one task at a time, whose result decides between Healthy
  // and Quarantined.
  Probing
};

struct WorkerHealth
{
  HealthState mState = HealthState::Healthy;
  // Evidence that the worker fails regardless of the workload: the cumulative
  // sum of log-likelihood ratios (CUSUM), never below zero.
  double mFailureEvidence = 0;
  // The worker is Healthy but limited to one task at a time because of its
  // failure evidence.
  bool mThrottled = false;
  // End of the current quarantine.
  TimePoint mProbeAt;
  // Length of the latest quarantine; doubled by each further one.
  std::chrono::milliseconds mBackoff{ 0 };
};

} // namespace oriolevane::placement
