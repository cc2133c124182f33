// Seeded streams of work like those of the two firms.
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "policy/types/cellpolicy.h"
#include "protocol/types/placermessages.h"

namespace oriolevane::bench {

struct TraceItem
{
  std::chrono::milliseconds mSubmitAt{ 0 };
  protocol::PlaceTasks mOrder;
  std::chrono::milliseconds mRunTime{ 0 };
};

// Work in the order of submission, and the policy for it. Declared run times,
// processors and memory are off by a factor between a quarter and four, drawn
// evenly on a logarithmic scale.
struct Trace
{
  std::vector<TraceItem> mItems;
  policy::CellPolicy mPolicy;
  std::chrono::milliseconds mLength{ 0 };
};

// One hour: dispatch services, bookings and certificates throughout, low
// reports in the background, and a wave of route sheets with one deadline at
// the end, for which the cell is too small at the peak.
Trace
MakeHreinsunTrace(std::uint64_t aSeed);

// Two hours: services and urgent previews over a backlog of acoustic models
// with accelerators, some as gangs, and of tonewood matches that need much
// memory. The queue is never empty.
Trace
MakeLutheriaTrace(std::uint64_t aSeed);

} // namespace oriolevane::bench
