#include "coordination/internal/retrybudget.h"

#include <algorithm>

namespace oriolevane::coordination::internal {

namespace {

constexpr std::uint32_t kMaxDoublings = 20;

} // namespace

void
RetryBudget::Earn(const policy::RetryPolicy& aPolicy)
{
  if (!mInitialized) {
    mInitialized = true;
    mTokens = aPolicy.mBudgetBurst;
  }
  mTokens = std::min(mTokens + aPolicy.mBudgetRatio, aPolicy.mBudgetBurst);
}

bool
RetryBudget::TrySpend(const policy::RetryPolicy& aPolicy)
{
  if (!mInitialized) {
    mInitialized = true;
    mTokens = aPolicy.mBudgetBurst;
  }
  if (mTokens < 1) {
    return false;
  }
  mTokens -= 1;
  return true;
}

std::chrono::milliseconds
Backoff(std::chrono::milliseconds aBase,
        std::chrono::milliseconds aCap,
        std::uint32_t aAttempts,
        std::mt19937_64& aRandom)
{
  const std::int64_t doubled = aBase.count()
                               << std::min(aAttempts, kMaxDoublings);
  const std::int64_t upperBound = std::clamp<std::int64_t>(
    doubled, 1, std::max<std::int64_t>(aCap.count(), 1));
  return std::chrono::milliseconds(static_cast<std::int64_t>(
    aRandom() % static_cast<std::uint64_t>(upperBound + 1)));
}

} // namespace oriolevane::coordination::internal
