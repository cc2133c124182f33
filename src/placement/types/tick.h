// Event: the periodic timer of the caller has fired.
#pragma once

namespace oriolevane::placement {

// Makes the placer process its due timers: heartbeats, leases, deadlines and
// resent updates. Expected about every 100 ms.
struct Tick
{};

} // namespace oriolevane::placement
