// Event: time has passed.
#pragma once

namespace oriolevane::placement {

// Drives heartbeats, leases, deadlines and repeats; expected every 100 ms or
// so.
struct Tick
{};

} // namespace oriolevane::placement
