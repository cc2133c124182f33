// Hashes and checks the state of a placer.
#pragma once

#include <cstdint>

#include "placement/internal/placercontext.h"

namespace oriolevane::placement {

// Returns a hash of the ledger and all attempts in slot order.
std::uint64_t
HashState(const PlacerContext& aContext);

// True when the resources granted on each worker equal the sum over its
// attempts and do not exceed its capacity.
bool
IsConsistent(const PlacerContext& aContext);

} // namespace oriolevane::placement
