// Results of the benchmark: medians over repeats, printed as name=value lines.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace oriolevane::bench {

// Collects the values of each result over all repeats.
class BenchResults
{
public:
  // Adds the value of one repeat to the result of this name.
  void Add(const std::string& aName, double aValue);
  // Prints the median of each result in the order of first use, and its spread
  // (largest value minus smallest) if there were several repeats.
  void Print() const;
  // Prints whether the median meets the bound: "met" or "missed". The bound is
  // a lower limit if aAtLeast is set, otherwise an upper limit.
  void PrintTarget(const std::string& aName,
                   double aBound,
                   bool aAtLeast) const;

private:
  double Median(const std::string& aName) const;

  // In the order of first use.
  std::vector<std::string> mNames;
  std::map<std::string, std::vector<double>> mValues;
};

// Returns the quantile of the samples at aShare (0 to 1), or 0 without samples.
// Reorders the samples.
double
Quantile(std::vector<double>& aSamples, double aShare);

} // namespace oriolevane::bench
