// Debug events of what coordinators and placers say to each other.
#pragma once

#include "protocol/types/placermessages.h"

namespace oriolevane::node {

// Placements and task updates, with request, attempt, shard and epoch; nothing
// for other messages or above the debug level.
void
LogMessage(const protocol::ToPlacer& aMessage);
void
LogMessage(const protocol::ToCoordinator& aMessage);

} // namespace oriolevane::node
