#include "membership/ownerassignment.h"

#include <cstddef>
#include <optional>

#include "framework/stablehash.h"

namespace oriolevane::membership {

namespace {

std::size_t
MostRowsOfOne(std::size_t aRows, std::size_t aCandidates)
{
  const std::size_t scaled = aRows * 5;
  const std::size_t parts = aCandidates * 4;
  return (scaled + parts - 1) / parts;
}

std::uint64_t
RowHash(RowKind aKind, std::uint32_t aNumber)
{
  const auto kind = static_cast<std::uint64_t>(aKind);
  return CombineHash(kind + 1, std::uint64_t{ aNumber } + 1);
}

std::size_t
BestWithRoom(std::uint64_t aRowHash,
             const std::vector<std::uint64_t>& aNodeHashes,
             const std::vector<std::size_t>& aLoads,
             std::size_t aMost)
{
  std::optional<std::size_t> best;
  std::uint64_t bestWeight = 0;
  for (std::size_t at = 0; at < aNodeHashes.size(); ++at) {
    const std::uint64_t weight = CombineHash(aRowHash, aNodeHashes[at]);
    if (aLoads[at] < aMost && (!best || weight > bestWeight)) {
      best = at;
      bestWeight = weight;
    }
  }
  return *best;
}

} // namespace

std::vector<NodeId>
AssignOwners(RowKind aKind,
             std::uint32_t aCount,
             const std::vector<NodeId>& aCandidates)
{
  if (aCandidates.empty()) {
    return {};
  }
  std::vector<std::uint64_t> hashes;
  hashes.reserve(aCandidates.size());
  for (const NodeId& candidate : aCandidates) {
    hashes.push_back(StableHash(candidate.mValue));
  }
  const std::size_t most = MostRowsOfOne(aCount, aCandidates.size());
  std::vector<std::size_t> loads(aCandidates.size(), 0);
  std::vector<NodeId> owners;
  owners.reserve(aCount);
  for (std::uint32_t number = 0; number < aCount; ++number) {
    const std::size_t best =
      BestWithRoom(RowHash(aKind, number), hashes, loads, most);
    ++loads[best];
    owners.push_back(aCandidates[best]);
  }
  return owners;
}

} // namespace oriolevane::membership
