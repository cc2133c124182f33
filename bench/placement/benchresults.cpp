#include "benchresults.h"

#include <algorithm>

#include <fmt/format.h>

namespace oriolevane::bench {

void
BenchResults::Add(const std::string& aName, double aValue)
{
  std::vector<double>& values = mValues[aName];
  if (values.empty()) {
    mNames.push_back(aName);
  }
  values.push_back(aValue);
}

double
BenchResults::Median(const std::string& aName) const
{
  const auto found = mValues.find(aName);
  if (found == mValues.end()) {
    return 0;
  }
  std::vector<double> values = found->second;
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

void
BenchResults::Print() const
{
  for (const std::string& name : mNames) {
    const std::vector<double>& values = mValues.at(name);
    const auto [smallest, largest] =
      std::minmax_element(values.begin(), values.end());
    fmt::print("{}={:.4g}\n", name, Median(name));
    if (values.size() > 1) {
      fmt::print("{}.spread={:.3g}\n", name, *largest - *smallest);
    }
  }
}

void
BenchResults::PrintTarget(const std::string& aName,
                          double aBound,
                          bool aAtLeast) const
{
  const double value = Median(aName);
  const bool isMet = aAtLeast ? value >= aBound : value <= aBound;
  fmt::print("{}.target={}{:.4g} {}\n",
             aName,
             aAtLeast ? ">=" : "<=",
             aBound,
             isMet ? "met" : "missed");
}

double
Quantile(std::vector<double>& aSamples, double aShare)
{
  if (aSamples.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(aSamples.size() - 1);
  const auto position =
    aSamples.begin() + static_cast<std::ptrdiff_t>(aShare * last);
  std::nth_element(aSamples.begin(), position, aSamples.end());
  return *position;
}

} // namespace oriolevane::bench
