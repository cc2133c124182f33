#include "cellnode/tests/testgroups.h"
#include "cellnode/yieldpolicy.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;
using namespace std::chrono_literals;

namespace {

const TimePoint kBegin{ 1000s };

YieldPolicy
OwnerSince(TimePoint aSince, bool aHandedOver = false)
{
  YieldPolicy policy;
  policy.OnOwnershipAcquired(aHandedOver, aSince);
  return policy;
}

void
TestFitness(Section& aRoot)
{
  aRoot.Describe("an owner that keeps up", [](Section& aSection) {
    const OwnerCondition small{ .mOwnFitness = 0.2, .mPeerFitness = 1.0 };
    aSection.It("yields to a much fitter peer after a while", [small] {
      const YieldPolicy policy = OwnerSince(kBegin);
      CPPUNIT_ASSERT(policy.ReasonToYield(small, kBegin + 1s) ==
                     YieldReason::None);
      CPPUNIT_ASSERT(policy.ReasonToYield(small, kBegin + 2s) ==
                     YieldReason::UnfitHost);
    });
    aSection.It("keeps the shard beside peers that are alike", [] {
      const YieldPolicy policy = OwnerSince(kBegin);
      CPPUNIT_ASSERT(
        policy.ReasonToYield({ .mOwnFitness = 1.0, .mPeerFitness = 1.0 },
                             kBegin + 60s) == YieldReason::None);
    });
  });
}

void
TestOverload(Section& aRoot)
{
  aRoot.Describe("an overloaded owner", [](Section& aSection) {
    const OwnerCondition slow{ .mOwnFitness = 1.0,
                               .mPeerFitness = 1.0,
                               .mOverloaded = true };
    aSection.It("yields to a peer of the same fitness", [slow] {
      CPPUNIT_ASSERT(OwnerSince(kBegin).ReasonToYield(slow, kBegin + 10s) ==
                     YieldReason::Overload);
    });
    aSection.It("keeps the shard while it is still taking over", [slow] {
      CPPUNIT_ASSERT(OwnerSince(kBegin).ReasonToYield(slow, kBegin + 1s) ==
                     YieldReason::None);
    });
    aSection.It("keeps the shard when all others are smaller", [] {
      CPPUNIT_ASSERT(
        OwnerSince(kBegin).ReasonToYield(
          { .mOwnFitness = 1.0, .mPeerFitness = 0.3, .mOverloaded = true },
          kBegin + 60s) == YieldReason::None);
    });
    aSection.It("keeps the shard when it has no peers", [] {
      CPPUNIT_ASSERT(
        OwnerSince(kBegin).ReasonToYield(
          { .mOwnFitness = 0.0, .mPeerFitness = 0.0, .mOverloaded = true },
          kBegin + 60s) == YieldReason::None);
    });
    aSection.It("does not pass on a shard that is too large for any host",
                [slow] {
                  const YieldPolicy policy = OwnerSince(kBegin, true);
                  CPPUNIT_ASSERT(policy.ReasonToYield(slow, kBegin + 5s) ==
                                 YieldReason::None);
                  CPPUNIT_ASSERT(policy.ReasonToYield(slow, kBegin + 30s) ==
                                 YieldReason::Overload);
                });
  });
}

} // namespace

void
YieldPolicyTests(Section& aRoot)
{
  TestFitness(aRoot);
  TestOverload(aRoot);
}

} // namespace oriolevane
