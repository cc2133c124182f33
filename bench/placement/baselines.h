// Baseline placement algorithms that search the workers without an index.
#pragma once

#include <cstddef>
#include <optional>
#include <random>
#include <vector>

#include "framework/types/resources.h"

namespace oriolevane::bench {

// Returns the first worker in the order of the list that has enough free
// resources.
std::optional<std::size_t>
FirstFit(const std::vector<Resources>& aFree, const Resources& aNeed);

// Draws random workers until one has enough free resources. Falls back to first
// fit after as many draws as there are workers.
std::optional<std::size_t>
RandomFit(const std::vector<Resources>& aFree,
          const Resources& aNeed,
          std::mt19937_64& aRandom);

} // namespace oriolevane::bench
