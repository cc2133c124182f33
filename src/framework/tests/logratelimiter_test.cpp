#include "framework/internal/logratelimiter.h"

#include "framework/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace std::chrono_literals;

namespace {

const TimePoint kBegin{ 100s };

// Requests aLines lines of one event at the same time and returns how many are
// admitted.
int
CountAdmitted(LogRateLimiter& aLimiter,
              const char* aEvent,
              int aLines,
              TimePoint aNow)
{
  int admitted = 0;
  for (int line = 0; line < aLines; ++line) {
    admitted += aLimiter.Admit(aEvent, aNow).has_value() ? 1 : 0;
  }
  return admitted;
}

} // namespace

void
LogRateLimiterTests(testing::Section& aRoot)
{
  aRoot.Describe("log lines of one event", [](Section& aSection) {
    aSection.It("are dropped beyond the burst", [] {
      LogRateLimiter limiter({ .mLinesPerSecond = 10, .mBurst = 50 });
      CPPUNIT_ASSERT_EQUAL(50, CountAdmitted(limiter, "refused", 80, kBegin));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 30 }, limiter.Dropped());
    });
    aSection.It(
      "are admitted again at the rate, with the number dropped before", [] {
        LogRateLimiter limiter({ .mLinesPerSecond = 10, .mBurst = 50 });
        CountAdmitted(limiter, "refused", 80, kBegin);
        const auto next = limiter.Admit("refused", kBegin + 1s);
        CPPUNIT_ASSERT(next.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 30 }, *next);
        CPPUNIT_ASSERT_EQUAL(
          9, CountAdmitted(limiter, "refused", 20, kBegin + 1s));
      });
    aSection.It("do not use up the tokens of other events", [] {
      LogRateLimiter limiter({ .mLinesPerSecond = 10, .mBurst = 50 });
      CountAdmitted(limiter, "refused", 80, kBegin);
      CPPUNIT_ASSERT_EQUAL(50, CountAdmitted(limiter, "started", 50, kBegin));
    });
  });
}

} // namespace oriolevane
