#include "peers/internal/dialbackoff.h"

#include <algorithm>

namespace oriolevane::peers {

DialBackoff::DialBackoff(std::chrono::milliseconds aLeast,
                         std::chrono::milliseconds aMost)
  : mLeast(aLeast)
  , mMost(aMost)
  , mCurrent(aLeast)
{
}

std::chrono::milliseconds
DialBackoff::Next(std::mt19937_64& aRandom)
{
  const std::chrono::milliseconds half = mCurrent / 2;
  const auto spread = static_cast<std::uint64_t>(half.count()) + 1;
  mCurrent = std::min(mCurrent * 2, mMost);
  return half + std::chrono::milliseconds(aRandom() % spread);
}

} // namespace oriolevane::peers
