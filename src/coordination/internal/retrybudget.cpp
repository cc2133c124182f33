#include "coordination/internal/retrybudget.h"

#include <algorithm>

namespace oriolevane::coordination::internal {

namespace {

constexpr std::uint32_t kMostDoublings = 20;

} // namespace

void
RetryBudget::Earn(const policy::RetryPolicy& aPolicy)
{
  if (!mStarted) {
    mStarted = true;
    mTokens = aPolicy.mBudgetBurst;
  }
  mTokens = std::min(mTokens + aPolicy.mBudgetRatio, aPolicy.mBudgetBurst);
}

bool
RetryBudget::TrySpend(const policy::RetryPolicy& aPolicy)
{
  if (!mStarted) {
    mStarted = true;
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
        std::uint32_t aTries,
        std::mt19937_64& aRandom)
{
  const std::int64_t doubled = aBase.count()
                               << std::min(aTries, kMostDoublings);
  const std::int64_t most = std::clamp<std::int64_t>(
    doubled, 1, std::max<std::int64_t>(aCap.count(), 1));
  return std::chrono::milliseconds(static_cast<std::int64_t>(
    aRandom() % static_cast<std::uint64_t>(most + 1)));
}

} // namespace oriolevane::coordination::internal
