// What the nodes of a cell have used so far, read from outside.
#pragma once

#include <chrono>
#include <cstdint>

#include "integration/cell.h"

namespace oriolevane::bench {

struct NodeUsage
{
  // Sums over all nodes.
  std::chrono::duration<double> mProcessorTime{ 0 };
  double mResidentMiB = 0;
  // To peers, all kinds, and of these heartbeats and pings.
  double mPeerBytesOut = 0;
  double mControlBytesOut = 0;
  // Of the platform stand-in: rows and transactions written.
  double mStoreWrites = 0;
};

NodeUsage
Measure(const integration::Cell& aCell);

} // namespace oriolevane::bench
