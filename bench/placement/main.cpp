// Benchmark of the placer. Measures it and simple baselines in the same run,
// with fixed seeds, and prints the medians and spreads over the repeats as
// name=value lines. The optional argument selects one part: decision, mix, loss
// or cancel.
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
  BenchResults results;
  if (isWanted("decision")) {
    RunDecisionBench(results);
  }
  if (isWanted("mix")) {
    RunMixBench(results);
  }
  if (isWanted("loss")) {
    RunLossBench(results);
  }
  if (isWanted("cancel")) {
    RunCancelBench(results);
  }
  results.Print();
  if (isWanted("decision")) {
    results.PrintTarget("decision.27000.core.per_second", 10'000, true);
    results.PrintTarget("decision.27000.core.p99_us", 1'000, false);
  }
  if (isWanted("mix")) {
    results.PrintTarget("hreinsun.core.wait.urgent.p99_s", 3.5, false);
  }
  return 0;
}
