#include "placement/tests/harness.h"
#include "placement/tests/stories.h"

namespace oriolevane::placement {

using protocol::TaskEndReason;
using protocol::TaskState;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Section;

namespace {

protocol::PlaceTasks
Gang(const std::string& aRequest, std::uint32_t aTasks)
{
  protocol::PlaceTasks order = TestOrder(aRequest, aTasks);
  order.mTogether = true;
  order.mPerTask.mMilliCores = 8'000;
  return order;
}

protocol::PlaceTasks
HeldGang(const std::string& aRequest, std::uint32_t aTasks)
{
  protocol::PlaceTasks order = Gang(aRequest, aTasks);
  order.mHold = true;
  order.mHoldFor = seconds{ 5 };
  return order;
}

protocol::CommitHold
CommitOf(const std::string& aRequest)
{
  return { .mRoute = TestOrder("").mRoute,
           .mRequest = RequestId{ aRequest },
           .mAttempt = 1 };
}

void
Together(Section& aSection)
{
  aSection.It("starts no task while one of them does not fit", [] {
    Harness harness(4);
    harness.mRunTime = seconds{ 5 };
    harness.Give(TestOrder("small"));
    harness.Give(Gang("gang", 4));
    harness.Pass(seconds{ 1 });
    CPPUNIT_ASSERT_EQUAL(0, harness.Starts("gang"));
    harness.Pass(seconds{ 6 });
    CPPUNIT_ASSERT_EQUAL(4, harness.Starts("gang"));
  });
  aSection.It("is not starved by small work, which goes on meanwhile", [] {
    Harness harness(4);
    harness.mRunTime = milliseconds{ 1'500 };
    for (int round = 0; round < 40; ++round) {
      harness.Give(TestOrder("small-" + std::to_string(round), 8));
      if (round == 10) {
        harness.Give(Gang("gang", 4));
      }
      harness.Pass(milliseconds{ 500 });
    }
    CPPUNIT_ASSERT_EQUAL(4, harness.Starts("gang"));
    CPPUNIT_ASSERT_EQUAL(8, harness.Starts("small-30"));
  });
  aSection.It("does not hold up small work behind it", [] {
    Harness harness(2);
    harness.Give(TestOrder("filler"));
    harness.Give(Gang("gang", 2));
    harness.mRunTime = seconds{ 2 };
    protocol::PlaceTasks small = TestOrder("small");
    small.mExpectedRunTime = milliseconds{ 10 };
    harness.Give(small);
    CPPUNIT_ASSERT_EQUAL(1, harness.Starts("small"));
  });
}

void
Hold(Section& aSection)
{
  aSection.It("keeps capacity without starting, and starts on commit", [] {
    Harness harness(2);
    harness.Give(HeldGang("gang", 2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 },
                         harness.mHeld.back().mIndexes.size());
    harness.Give(TestOrder("other"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, harness.RunningCount());
    harness.Give(CommitOf("gang"));
    CPPUNIT_ASSERT_EQUAL(2, harness.Starts("gang"));
    CPPUNIT_ASSERT_EQUAL(0, harness.Starts("other"));
  });
  aSection.It(
    "is released when it expires, and a late commit starts nothing", [] {
      Harness harness(2);
      harness.Give(HeldGang("gang", 2));
      harness.mNow += seconds{ 5 };
      harness.Give(CommitOf("gang"));
      CPPUNIT_ASSERT_EQUAL(0, harness.Starts("gang"));
      CPPUNIT_ASSERT(harness.State("gang", 1) == TaskState::NotStarted);
      CPPUNIT_ASSERT(harness.Reason("gang", 1) == TaskEndReason::HoldExpired);
      harness.Give(TestOrder("other"));
      CPPUNIT_ASSERT_EQUAL(1, harness.Starts("other"));
    });
  aSection.It("is told again when the request is repeated", [] {
    Harness harness(2);
    harness.Give(HeldGang("gang", 2));
    harness.Pass(seconds{ 1 });
    harness.Give(HeldGang("gang", 2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, harness.mHeld.size());
    CPPUNIT_ASSERT(harness.mHeld.back().mHeldFor == seconds{ 4 });
  });
}

} // namespace

void
GangStory(Section& aStory)
{
  aStory.Describe("a gang", Together);
  aStory.Describe("a hold", Hold);
}

} // namespace oriolevane::placement
