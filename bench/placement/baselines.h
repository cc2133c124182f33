// Placement without an index, to compare with.
#pragma once

#include <cstddef>
#include <optional>
#include <random>
#include <vector>

#include "framework/types/resources.h"

namespace oriolevane::bench {

// The first worker, in the order of the list, that has room.
std::optional<std::size_t>
FirstFit(const std::vector<Resources>& aFree, const Resources& aNeed);

// Draws workers until one has room; after as many draws as there are workers
// the first that has.
std::optional<std::size_t>
RandomFit(const std::vector<Resources>& aFree,
          const Resources& aNeed,
          std::mt19937_64& aRandom);

} // namespace oriolevane::bench
