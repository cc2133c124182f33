// Measures the placement core against simple baselines in the same run and
// prints name=value lines. Seeds are fixed; medians and spreads over repeats.
#include <cstring>

#include "cancelbench.h"
#include "decisionbench.h"
#include "lossbench.h"
#include "mixbench.h"

int
main(int aCount, char** aArguments)
{
  using namespace oriolevane::bench;
  const auto isWanted = [&](const char* aPart) {
    return aCount < 2 || std::strcmp(aArguments[1], aPart) == 0;
  };
  Figures figures;
  if (isWanted("decision")) {
    RunDecisionBench(figures);
  }
  if (isWanted("mix")) {
    RunMixBench(figures);
  }
  if (isWanted("loss")) {
    RunLossBench(figures);
  }
  if (isWanted("cancel")) {
    RunCancelBench(figures);
  }
  figures.Print();
  if (isWanted("decision")) {
    figures.PrintTarget("decision.27000.core.per_second", 10'000, true);
    figures.PrintTarget("decision.27000.core.p99_us", 1'000, false);
  }
  if (isWanted("mix")) {
    figures.PrintTarget("hreinsun.core.wait.urgent.p99_s", 3.5, false);
  }
  return 0;
}
