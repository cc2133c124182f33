#include "baselines.h"

namespace oriolevane::bench {

std::optional<std::size_t>
FirstFit(const std::vector<Resources>& aFree, const Resources& aNeed)
{
  for (std::size_t worker = 0; worker < aFree.size(); ++worker) {
    if (aNeed.FitsIn(aFree[worker])) {
      return worker;
    }
  }
  return std::nullopt;
}

std::optional<std::size_t>
RandomFit(const std::vector<Resources>& aFree,
          const Resources& aNeed,
          std::mt19937_64& aRandom)
{
  for (std::size_t draw = 0; draw < aFree.size(); ++draw) {
    const std::size_t worker = aRandom() % aFree.size();
    if (aNeed.FitsIn(aFree[worker])) {
      return worker;
    }
  }
  return FirstFit(aFree, aNeed);
}

} // namespace oriolevane::bench
