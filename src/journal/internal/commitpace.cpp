#include "journal/commitpace.h"

#include <algorithm>

namespace oriolevane::journal {

Duration
CommitInterval(const CommitPace& aPace, std::uint32_t aLiveNodes)
{
  const std::uint32_t writers = std::min(aLiveNodes, aPace.mPartitions);
  const double writes = 2.0 * aPace.mPartitions + writers;
  const std::chrono::duration<double> needed(writes / aPace.mWriteBudget);
  return std::max<Duration>(aPace.mMinInterval,
                            std::chrono::duration_cast<Duration>(needed));
}

} // namespace oriolevane::journal
