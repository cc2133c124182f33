// How a workload's requests are placed, retried and admitted.
#pragma once

#include <chrono>
#include <cstdint>

#include "framework/types/ids.h"
#include "framework/types/resources.h"

namespace oriolevane::policy {

// Over which failure domain the tasks of one service are spread.
enum class Spread : std::uint8_t
{
  None,
  Rack,
  Zone
};

// Attempts are paced by exponential backoff with full jitter, and by a token
// bucket per workload.
struct RetryPolicy
{
  std::uint32_t mMaxAttempts = 3;
  std::chrono::milliseconds mBackoffBase{ 100 };
  std::chrono::milliseconds mBackoffCap{ 10'000 };
  // Retries granted per admitted first attempt, at most.
  double mBudgetRatio = 0.2;
  double mBudgetBurst = 10;

  bool operator==(const RetryPolicy&) const = default;
};

// Weights of the placement score; each term is between 0 and 1.
struct PlacementWeights
{
  // Prefers workers that are left with little stranded capacity.
  double mPacking = 1.0;
  // Prefers starting now over waiting for a better place.
  double mWaiting = 1.0;
  double mSpread = 0.5;

  bool operator==(const PlacementWeights&) const = default;
};

struct WorkloadPolicy
{
  WorkloadId mWorkload;
  PlacementWeights mWeights;
  Spread mSpread = Spread::None;
  RetryPolicy mRetry;
  // Its running tasks may be checkpointed and stopped for more urgent work.
  bool mPreemptible = false;
  // The queueing delay that a request of this class tolerates; admission's
  // burst follows from it.
  std::chrono::milliseconds mToleratedWait{ 60'000 };
  // Service-level objective: this share of requests starts within
  // mToleratedWait.
  double mObjective = 0.99;
  // The most that one task may ask for.
  Resources mPerTaskLimit{ .mMilliCores = 64'000,
                           .mMemoryMiB = 262'144,
                           .mAccelerators = 8,
                           .mSlots = 8 };

  bool operator==(const WorkloadPolicy&) const = default;
};

} // namespace oriolevane::policy
