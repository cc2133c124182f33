// Finds the queue that a request addresses by host and path.
#pragma once

#include <string>
#include <string_view>

#include "jobs/types/cellconfiguration.h"

namespace oriolevane::cellnode {

struct QueueMatch
{
  // Null when no queue matches.
  const jobs::QueuePolicy* mQueue = nullptr;
  // The path after the queue's prefix; empty for the queue itself.
  std::string mRest;
};

// Returns the queue of the host with the longest prefix of the path. The query
// string of the path is ignored.
QueueMatch
MatchQueue(const jobs::CellConfiguration& aConfiguration,
           std::string_view aHost,
           std::string_view aPath);

// True for exactly 16 hexadecimal digits.
bool
IsJobId(std::string_view aText);

} // namespace oriolevane::cellnode
