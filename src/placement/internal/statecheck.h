// Hashes and checks the whole state of a placer.
#pragma once

#include <cstdint>

#include "placement/internal/placercontext.h"

namespace oriolevane::placement {

// Of the ledger and all attempts, in the order of their slots.
std::uint64_t
HashState(const PlacerContext& aContext);

// True when the grants of each worker equal the sum of its counted attempts,
// and no worker has more granted than its capacity.
bool
IsConsistent(const PlacerContext& aContext);

} // namespace oriolevane::placement
