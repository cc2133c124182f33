// What the coordinator itself costs: processor time, memory and journal.
#pragma once

#include <cstddef>
#include <cstdint>

namespace oriolevane::bench {

struct CostResult
{
  // Events handled a second by one core, over whole lives of requests.
  double mEventsPerSecond = 0;
  double mRequestsPerSecond = 0;
  // Slope over the numbers of live requests.
  double mBytesPerLiveRequest = 0;
  double mJournalBytesPerRequest = 0;
  double mJournalBytesPerNeverRepeat = 0;
  // A wave of cancellations of queued requests.
  double mCancelsPerSecond = 0;
  double mWorstCancelMicroseconds = 0;
};

// Tasks end at once and records are committed at once.
CostResult
RunCost(std::uint64_t aSeed);

} // namespace oriolevane::bench
