// Hashes that are equal on every node and in every run (XXH64). They assign
// keys to partitions, shards and nodes.
#pragma once

#include <cstdint>
#include <string_view>

namespace oriolevane {

// Returns the XXH64 hash of the bytes with the given seed.
std::uint64_t
StableHash(std::string_view aBytes, std::uint64_t aSeed = 0);

// Combines two hashes into one. The order of the arguments matters.
std::uint64_t
CombineHash(std::uint64_t aLeft, std::uint64_t aRight);

} // namespace oriolevane
