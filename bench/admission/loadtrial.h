// Goodput and waiting under load: a seeded trace through a coordinator and a
// cell of slots in virtual time.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "coordination/coordinator.h"

namespace oriolevane::bench {

// Requests arrive at mLoad times what the cell serves.
struct LoadOptions
{
  std::uint64_t mSeed = 1;
  double mLoad = 1.0;
  bool mLimitAdmission = true;
};

// Times in seconds; goodput is the rate of requests that started within the
// wait that their class tolerates, as a share of the cell's capacity.
struct LoadResult
{
  double mGoodput = 0;
  double mRefusedShare = 0;
  // Waits of what was admitted, by urgency, over the tolerated wait.
  std::array<std::vector<double>, protocol::kUrgencyLevels> mWaits;
};

LoadResult
RunLoad(const LoadOptions& aOptions);

} // namespace oriolevane::bench
