// Event: the shard goes to another node as planned.
#pragma once

namespace oriolevane::placement {

// From now on the placer starts nothing: what waits is given back to its
// coordinators as not started, and so is what still arrives. What runs goes on.
struct HandOverBegan
{};

} // namespace oriolevane::placement
