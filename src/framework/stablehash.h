// Hashes that are equal on every node and in every run (XXH64), for placing
// keys on partitions, shards and nodes.
#pragma once

#include <cstdint>
#include <string_view>

namespace oriolevane {

// XXH64 of the bytes with the given seed.
std::uint64_t
StableHash(std::string_view aBytes, std::uint64_t aSeed = 0);

// Mixes two hashes into one, order-sensitive.
std::uint64_t
CombineHash(std::uint64_t aLeft, std::uint64_t aRight);

} // namespace oriolevane
