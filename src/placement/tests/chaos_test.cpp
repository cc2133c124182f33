#include "placement/tests/chaosworld.h"
#include "placement/tests/stories.h"

namespace oriolevane::placement {

using testing::Section;

namespace {

constexpr int kSeeds = 12;
constexpr int kFaultySteps = 600;
constexpr int kHealedSteps = 900;

void
RunSeeds(ChaosOptions aOptions)
{
  for (int seed = 1; seed <= kSeeds; ++seed) {
    aOptions.mSeed = static_cast<std::uint64_t>(seed);
    ChaosWorld world(aOptions);
    CPPUNIT_ASSERT_EQUAL(std::string{}, world.Run(kFaultySteps, kHealedSteps));
    CPPUNIT_ASSERT_EQUAL(aOptions.mTasks, world.Finished());
  }
}

} // namespace

void
ChaosStory(Section& aStory)
{
  aStory.Describe("a faulty network", [](Section& aSection) {
    aSection.It("breaks no promise and ends all tasks once healed", [] {
      RunSeeds({ .mRestartWorker = 0, .mMuteWorker = 0, .mReplacePlacer = 0 });
    });
    aSection.It("with workers that restart and fall silent neither",
                [] { RunSeeds({ .mReplacePlacer = 0 }); });
    aSection.It("with placers that are replaced and wake up neither",
                [] { RunSeeds({}); });
  });
  aStory.Describe("one seed", [](Section& aSection) {
    aSection.It("always gives the same history", [] {
      ChaosWorld first({ .mSeed = 5 });
      ChaosWorld second({ .mSeed = 5 });
      first.Run(kFaultySteps, 0);
      second.Run(kFaultySteps, 0);
      CPPUNIT_ASSERT_EQUAL(first.History(), second.History());
    });
  });
}

} // namespace oriolevane::placement
