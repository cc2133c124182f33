// Event: the planned shutdown of this node began.
#pragma once

namespace oriolevane::coordination {

// From now on the coordinator refuses new requests and finishes those that it
// has accepted.
struct DrainBegan
{};

} // namespace oriolevane::coordination
