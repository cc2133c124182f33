#include "framework/stablehash.h"

#include <array>

#include <xxhash.h>

namespace oriolevane {

std::uint64_t
StableHash(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH64(aBytes.data(), aBytes.size(), aSeed);
}

std::uint64_t
CombineHash(std::uint64_t aLeft, std::uint64_t aRight)
{
  const std::array<std::uint64_t, 2> pair{ aLeft, aRight };
  return XXH64(pair.data(), sizeof(pair), 0);
}

} // namespace oriolevane
