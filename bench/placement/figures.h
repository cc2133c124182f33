// Figures of the benchmark: medians over repeats, printed as name=value lines.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace oriolevane::bench {

class Figures
{
public:
  // One repeat's value of a figure.
  void Add(const std::string& aName, double aValue);
  // Prints, in the order of first use, each figure's median and its spread
  // (largest less smallest) when there were several repeats.
  void Print() const;
  // Prints whether the median keeps the bound: met or missed.
  void PrintTarget(const std::string& aName,
                   double aBound,
                   bool aAtLeast) const;

private:
  double Median(const std::string& aName) const;

  std::vector<std::string> mOrder;
  std::map<std::string, std::vector<double>> mValues;
};

// The value below which this share of the samples lies; the samples are
// reordered. Zero without samples.
double
Quantile(std::vector<double>& aSamples, double aShare);

} // namespace oriolevane::bench
