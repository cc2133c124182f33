#include "placement/tests/chaossimulation.h"
#include "placement/tests/testgroups.h"

namespace oriolevane::placement {

using testing::Section;

namespace {

constexpr int kSeeds = 12;
constexpr int kFaultySteps = 600;
constexpr int kFaultFreeSteps = 900;

void
RunSeeds(ChaosOptions aOptions)
{
  for (int seed = 1; seed <= kSeeds; ++seed) {
    aOptions.mSeed = static_cast<std::uint64_t>(seed);
    ChaosSimulation simulation(aOptions);
    CPPUNIT_ASSERT_EQUAL(std::string{},
                         simulation.Run(kFaultySteps, kFaultFreeSteps));
    CPPUNIT_ASSERT_EQUAL(aOptions.mTaskCount, simulation.FinishedCount());
  }
}

} // namespace

void
ChaosTests(Section& aRoot)
{
  aRoot.Describe("a faulty network", [](Section& aSection) {
    aSection.It(
      "violates no invariant, and all tasks finish once the faults end", [] {
        RunSeeds({ .mRestartWorkerPerMille = 0,
                   .mSilenceWorkerPerMille = 0,
                   .mReplacePlacerPerMille = 0 });
      });
    aSection.It(
      "violates no invariant when workers also restart and become unreachable",
      [] { RunSeeds({ .mReplacePlacerPerMille = 0 }); });
    aSection.It(
      "violates no invariant when placers are also replaced and continue late",
      [] { RunSeeds({}); });
  });
  aRoot.Describe("a run with one seed", [](Section& aSection) {
    aSection.It("always passes through the same states", [] {
      ChaosSimulation first({ .mSeed = 5 });
      ChaosSimulation second({ .mSeed = 5 });
      first.Run(kFaultySteps, 0);
      second.Run(kFaultySteps, 0);
      CPPUNIT_ASSERT_EQUAL(first.HistoryHash(), second.HistoryHash());
    });
  });
}

} // namespace oriolevane::placement
