// Repeated measurements of one name.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace oriolevane::bench {

// Collects one value of a name per repeat and prints the median, the lowest and
// the highest.
class Samples
{
public:
  void Add(const std::string& aName, double aValue);
  // name=median, name.low= and name.high=, in the order of names.
  void Print() const;

private:
  std::map<std::string, std::vector<double>> mValues;
};

// The value below which the share aShare of the values lies; zero for none.
double
Quantile(std::vector<double> aValues, double aShare);

} // namespace oriolevane::bench
