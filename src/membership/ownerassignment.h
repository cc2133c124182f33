// Which node should own which partition or shard: rendezvous hashing with
// bounded loads. All nodes that see the same candidates come to the same
// answer, and a node that joins or leaves moves few rows.
#pragma once

#include <cstdint>
#include <vector>

#include "framework/types/ids.h"
#include "membership/types/rowref.h"

namespace oriolevane::membership {

// The owner of each row of the kind, by number. Each row goes to the candidate
// of its greatest hash that holds fewer than 5/4 of the mean, rounded up.
// Empty when there are no candidates.
std::vector<NodeId>
AssignOwners(RowKind aKind,
             std::uint32_t aCount,
             const std::vector<NodeId>& aCandidates);

} // namespace oriolevane::membership
