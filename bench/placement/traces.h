// Seeded synthetic workloads that resemble those of the two firms.
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "policy/types/cellpolicy.h"
#include "protocol/types/placermessages.h"

namespace oriolevane::bench {

// One request with its submission time, from the start of the trace, and its
// actual run time.
struct TraceItem
{
  std::chrono::milliseconds mSubmitAt{ 0 };
  protocol::PlaceTasks mPlaceTasks;
  std::chrono::milliseconds mRunTime{ 0 };
};

// Requests in the order of submission and the policy for them. Declared run
// times, cores and memory deviate from the actual values by a factor between a
// quarter and four, drawn from a log-uniform distribution.
struct Trace
{
  std::vector<TraceItem> mItems;
  policy::CellPolicy mPolicy;
  std::chrono::milliseconds mLength{ 0 };
};

// One hour of work at Hreinsun: dispatch services, bookings and certificates
// throughout, reports of low urgency in the background, and a burst of route
// sheets with a common deadline at the end of the trace. The burst exceeds the
// capacity of the cell at its peak.
Trace
MakeHreinsunTrace(std::uint64_t aSeed);

// Two hours of work at Lutheria: services and urgent previews on top of a
// backlog of acoustic models that need accelerators, some of them gangs, and of
// tonewood matches that need much memory. The queue is never empty.
Trace
MakeLutheriaTrace(std::uint64_t aSeed);

} // namespace oriolevane::bench
