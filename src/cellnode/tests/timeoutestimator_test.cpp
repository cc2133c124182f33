#include "cellnode/tests/testgroups.h"
#include "cellnode/timeoutestimator.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;
using namespace std::chrono_literals;

namespace {

TimeoutEstimator
AfterMany(Duration aRoundTrip)
{
  TimeoutEstimator estimator;
  for (int answer = 0; answer < 50; ++answer) {
    estimator.OnAnswer(aRoundTrip);
  }
  return estimator;
}

} // namespace

void
TimeoutEstimatorTests(Section& aRoot)
{
  aRoot.It("returns the initial timeout until a round trip is measured", [] {
    CPPUNIT_ASSERT(TimeoutEstimator({ .mInitial = 200ms }).Timeout(1) == 200ms);
  });
  aRoot.It("does not go below the minimum",
           [] { CPPUNIT_ASSERT(AfterMany(5ms).Timeout(1) == 100ms); });
  aRoot.It("doubles the timeout with each attempt, up to the maximum", [] {
    const TimeoutEstimator estimator = AfterMany(5ms);
    CPPUNIT_ASSERT(estimator.Timeout(2) == 200ms);
    CPPUNIT_ASSERT(estimator.Timeout(3) == 400ms);
    CPPUNIT_ASSERT(estimator.Timeout(40) == 2000ms);
  });
  aRoot.It("exceeds a slow round trip after measuring it once", [] {
    TimeoutEstimator estimator = AfterMany(5ms);
    estimator.OnAnswer(600ms);
    CPPUNIT_ASSERT(estimator.Timeout(1) > 600ms);
  });
  aRoot.It("does not go below the usual round trip of a slow store",
           [] { CPPUNIT_ASSERT(AfterMany(3000ms).Timeout(1) >= 3000ms); });
  aRoot.It("expects a slow round trip directly after one", [] {
    TimeoutEstimator estimator = AfterMany(5ms);
    estimator.OnAnswer(1500ms);
    CPPUNIT_ASSERT(estimator.ExpectedRoundTrip() == 1500ms);
    estimator.OnAnswer(5ms);
    CPPUNIT_ASSERT(estimator.ExpectedRoundTrip() < 300ms);
  });
  aRoot.It("decreases when the store is fast again", [] {
    TimeoutEstimator estimator = AfterMany(600ms);
    for (int answer = 0; answer < 40; ++answer) {
      estimator.OnAnswer(5ms);
    }
    CPPUNIT_ASSERT(estimator.Timeout(1) < 200ms);
  });
}

} // namespace oriolevane
