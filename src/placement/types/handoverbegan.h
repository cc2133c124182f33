// Event: a planned handover of the shard to another node has begun.
#pragma once

namespace oriolevane::placement {

// The placer starts no more tasks. Waiting tasks, and tasks that arrive later,
// are returned to their coordinators as not started. Running tasks continue.
struct HandOverBegan
{};

} // namespace oriolevane::placement
