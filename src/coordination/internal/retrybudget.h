// Limits retries, so that a failing workload does not multiply its own load.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>

#include "policy/types/workloadpolicy.h"

namespace oriolevane::coordination::internal {

// The token bucket of one workload. Each accepted request adds the budget ratio
// of the policy in tokens, up to its burst, and each retry takes one token.
class RetryBudget
{
public:
  // Adds the tokens of one accepted request.
  void Earn(const policy::RetryPolicy& aPolicy);
  // Takes one token for a retry. Returns false when less than one is left.
  bool TrySpend(const policy::RetryPolicy& aPolicy);

private:
  double mTokens = 0;
  bool mInitialized = false;
};

// Returns an exponential backoff with full jitter: a uniformly distributed time
// from zero to aBase x 2^aAttempts, limited to aCap.
std::chrono::milliseconds
Backoff(std::chrono::milliseconds aBase,
        std::chrono::milliseconds aCap,
        std::uint32_t aAttempts,
        std::mt19937_64& aRandom);

} // namespace oriolevane::coordination::internal
