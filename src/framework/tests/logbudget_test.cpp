#include "framework/internal/logbudget.h"

#include "framework/tests/stories.h"

namespace oriolevane {

using testing::Section;
using namespace std::chrono_literals;

namespace {

const TimePoint kBegin{ 100s };

// Lines of a kind that are admitted out of so many at one moment.
int
Admitted(LogBudget& aBudget, const char* aKind, int aLines, TimePoint aNow)
{
  int admitted = 0;
  for (int line = 0; line < aLines; ++line) {
    admitted += aBudget.Admit(aKind, aNow).has_value() ? 1 : 0;
  }
  return admitted;
}

} // namespace

void
LogBudgetStory(testing::Section& aStory)
{
  aStory.Describe("lines of one kind", [](Section& aSection) {
    aSection.It("are dropped beyond the burst", [] {
      LogBudget budget({ .mLinesPerSecond = 10, .mBurst = 50 });
      CPPUNIT_ASSERT_EQUAL(50, Admitted(budget, "refused", 80, kBegin));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 30 }, budget.Dropped());
    });
    aSection.It("come again at the rate, and tell what was dropped", [] {
      LogBudget budget({ .mLinesPerSecond = 10, .mBurst = 50 });
      Admitted(budget, "refused", 80, kBegin);
      const auto next = budget.Admit("refused", kBegin + 1s);
      CPPUNIT_ASSERT(next.has_value());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 30 }, *next);
      CPPUNIT_ASSERT_EQUAL(9, Admitted(budget, "refused", 20, kBegin + 1s));
    });
    aSection.It("do not use up what other kinds have", [] {
      LogBudget budget({ .mLinesPerSecond = 10, .mBurst = 50 });
      Admitted(budget, "refused", 80, kBegin);
      CPPUNIT_ASSERT_EQUAL(50, Admitted(budget, "started", 50, kBegin));
    });
  });
}

} // namespace oriolevane
