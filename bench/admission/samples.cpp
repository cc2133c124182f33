#include "samples.h"

#include <algorithm>

#include <fmt/format.h>

namespace oriolevane::bench {

void
Samples::Add(const std::string& aName, double aValue)
{
  mValues[aName].push_back(aValue);
}

void
Samples::Print() const
{
  for (const auto& [name, values] : mValues) {
    fmt::print("{}={:.4g}\n", name, Quantile(values, 0.5));
    fmt::print("{}.low={:.4g}\n", name, Quantile(values, 0));
    fmt::print("{}.high={:.4g}\n", name, Quantile(values, 1));
  }
}

double
Quantile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto last = static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<std::size_t>(aShare * last + 0.5)];
}

} // namespace oriolevane::bench
