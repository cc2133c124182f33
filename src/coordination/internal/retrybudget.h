// Paces retries so that a failing workload does not multiply its own load.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>

#include "policy/types/workloadpolicy.h"

namespace oriolevane::coordination::internal {

// A token bucket of one workload: each first attempt earns a share of a retry,
// each retry spends one.
class RetryBudget
{
public:
  void Earn(const policy::RetryPolicy& aPolicy);
  bool TrySpend(const policy::RetryPolicy& aPolicy);

private:
  double mTokens = 0;
  bool mStarted = false;
};

// Exponential backoff with full jitter: uniform between zero and
// base x 2^aTries, at most the cap.
std::chrono::milliseconds
Backoff(std::chrono::milliseconds aBase,
        std::chrono::milliseconds aCap,
        std::uint32_t aTries,
        std::mt19937_64& aRandom);

} // namespace oriolevane::coordination::internal
