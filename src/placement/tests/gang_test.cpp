#include "placement/tests/harness.h"
#include "placement/tests/testgroups.h"

namespace oriolevane::placement {

using protocol::TaskEndReason;
using protocol::TaskState;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Section;

namespace {

protocol::PlaceTasks
MakeGang(const std::string& aRequest, std::uint32_t aTasks)
{
  protocol::PlaceTasks placeTasks = MakePlaceTasks(aRequest, aTasks);
  placeTasks.mTogether = true;
  placeTasks.mPerTask.mMilliCores = 8'000;
  return placeTasks;
}

protocol::PlaceTasks
MakeHeldGang(const std::string& aRequest, std::uint32_t aTasks)
{
  protocol::PlaceTasks placeTasks = MakeGang(aRequest, aTasks);
  placeTasks.mHold = true;
  placeTasks.mHoldFor = seconds{ 5 };
  return placeTasks;
}

protocol::CommitHold
MakeCommitHold(const std::string& aRequest)
{
  return { .mRoute = MakePlaceTasks("").mRoute,
           .mRequest = RequestId{ aRequest },
           .mAttempt = 1 };
}

void
TestGang(Section& aSection)
{
  aSection.It("starts no task while one of them does not fit", [] {
    Harness harness(4);
    harness.mTaskRunTime = seconds{ 5 };
    harness.HandleEvent(MakePlaceTasks("small"));
    harness.HandleEvent(MakeGang("gang", 4));
    harness.AdvanceTime(seconds{ 1 });
    CPPUNIT_ASSERT_EQUAL(0, harness.StartCount("gang"));
    harness.AdvanceTime(seconds{ 6 });
    CPPUNIT_ASSERT_EQUAL(4, harness.StartCount("gang"));
  });
  aSection.It("is not starved by small tasks, which continue to run meanwhile",
              [] {
                Harness harness(4);
                harness.mTaskRunTime = milliseconds{ 1'500 };
                for (int round = 0; round < 40; ++round) {
                  harness.HandleEvent(
                    MakePlaceTasks("small-" + std::to_string(round), 8));
                  if (round == 10) {
                    harness.HandleEvent(MakeGang("gang", 4));
                  }
                  harness.AdvanceTime(milliseconds{ 500 });
                }
                CPPUNIT_ASSERT_EQUAL(4, harness.StartCount("gang"));
                CPPUNIT_ASSERT_EQUAL(8, harness.StartCount("small-30"));
              });
  aSection.It("does not delay small tasks queued behind it", [] {
    Harness harness(2);
    harness.HandleEvent(MakePlaceTasks("filler"));
    harness.HandleEvent(MakeGang("gang", 2));
    harness.mTaskRunTime = seconds{ 2 };
    protocol::PlaceTasks small = MakePlaceTasks("small");
    small.mExpectedRunTime = milliseconds{ 10 };
    harness.HandleEvent(small);
    CPPUNIT_ASSERT_EQUAL(1, harness.StartCount("small"));
  });
}

void
TestHold(Section& aSection)
{
  aSection.It(
    "reserves capacity without starting tasks, and starts them on commit", [] {
      Harness harness(2);
      harness.HandleEvent(MakeHeldGang("gang", 2));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 },
                           harness.mHolds.back().mIndexes.size());
      harness.HandleEvent(MakePlaceTasks("other"));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, harness.RunningCount());
      harness.HandleEvent(MakeCommitHold("gang"));
      CPPUNIT_ASSERT_EQUAL(2, harness.StartCount("gang"));
      CPPUNIT_ASSERT_EQUAL(0, harness.StartCount("other"));
    });
  aSection.It(
    "is released when it expires, and a late commit starts nothing", [] {
      Harness harness(2);
      harness.HandleEvent(MakeHeldGang("gang", 2));
      harness.mNow += seconds{ 5 };
      harness.HandleEvent(MakeCommitHold("gang"));
      CPPUNIT_ASSERT_EQUAL(0, harness.StartCount("gang"));
      CPPUNIT_ASSERT(harness.State("gang", 1) == TaskState::NotStarted);
      CPPUNIT_ASSERT(harness.Reason("gang", 1) == TaskEndReason::HoldExpired);
      harness.HandleEvent(MakePlaceTasks("other"));
      CPPUNIT_ASSERT_EQUAL(1, harness.StartCount("other"));
    });
  aSection.It("is reported again when the request is repeated", [] {
    Harness harness(2);
    harness.HandleEvent(MakeHeldGang("gang", 2));
    harness.AdvanceTime(seconds{ 1 });
    harness.HandleEvent(MakeHeldGang("gang", 2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, harness.mHolds.size());
    CPPUNIT_ASSERT(harness.mHolds.back().mHeldFor == seconds{ 4 });
  });
}

} // namespace

void
GangTests(Section& aRoot)
{
  aRoot.Describe("a gang", TestGang);
  aRoot.Describe("a hold", TestHold);
}

} // namespace oriolevane::placement
