#include "crashes/taskcrashes.h"

#include "crashes/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace crashes;

void
TaskCrashesTests(Section& aRoot)
{
  aRoot.Describe("a task", [](Section& aSection) {
    aSection.It("is given up at the second crash if it was alone", [] {
      // Guards against a task that is given up for one crash, or never.
      TaskCrashes crashes;
      CPPUNIT_ASSERT(!crashes.IsSuspected());
      CPPUNIT_ASSERT(crashes.AddCrash(RunNumber(1), CrashEvidence::OneJob));
      CPPUNIT_ASSERT(crashes.IsSuspected());
      CPPUNIT_ASSERT(!crashes.IsGivenUp());
      CPPUNIT_ASSERT(crashes.AddCrash(RunNumber(2), CrashEvidence::OneJob));
      CPPUNIT_ASSERT(crashes.IsGivenUp());
    });
    aSection.It("is given up at the third crash beside other jobs", [] {
      // Guards against innocent tasks that are given up beside a deadly one.
      TaskCrashes crashes;
      crashes.AddCrash(RunNumber(1), CrashEvidence::OneJob);
      crashes.AddCrash(RunNumber(2), CrashEvidence::SeveralJobs);
      CPPUNIT_ASSERT(!crashes.IsGivenUp());
      crashes.AddCrash(RunNumber(4), CrashEvidence::SeveralJobs);
      CPPUNIT_ASSERT(crashes.IsGivenUp());
    });
    aSection.It("may have failed with others only at the same time", [] {
      // Guards against tasks that are given up for the loss of a rack.
      using namespace std::chrono_literals;
      const TimePoint time(1000s);
      CPPUNIT_ASSERT(MayHaveFailedTogether(time, time + 800ms));
      CPPUNIT_ASSERT(MayHaveFailedTogether(time + 800ms, time));
      CPPUNIT_ASSERT(!MayHaveFailedTogether(time, time + 3s));
    });
    aSection.It("counts a crash once, however often it is seen", [] {
      // Guards against a crash that the registry and a report both show.
      TaskCrashes crashes;
      CPPUNIT_ASSERT(crashes.AddCrash(RunNumber(1), CrashEvidence::OneJob));
      CPPUNIT_ASSERT(!crashes.AddCrash(RunNumber(1), CrashEvidence::OneJob));
      CPPUNIT_ASSERT(!crashes.IsGivenUp());
    });
    aSection.It("is given up at the fifth crash if starts are unconfirmed", [] {
      // Guards against jobs that fail for orders to workers that were gone.
      TaskCrashes crashes({ RunNumber(1) });
      for (const RunNumber run : { RunNumber(2), RunNumber(3), RunNumber(4) }) {
        crashes.AddCrash(run, CrashEvidence::UnconfirmedStart);
        CPPUNIT_ASSERT(!crashes.IsGivenUp());
      }
      crashes.AddCrash(RunNumber(5), CrashEvidence::UnconfirmedStart);
      CPPUNIT_ASSERT(crashes.IsGivenUp());
    });
    aSection.It("keeps the crashes that an earlier owner recorded", [] {
      // Guards against a count that begins again at each takeover.
      TaskCrashes crashes({ RunNumber(1), RunNumber(2) });
      CPPUNIT_ASSERT(crashes.IsSuspected());
      CPPUNIT_ASSERT(!crashes.IsGivenUp());
      crashes.AddCrash(RunNumber(1001), CrashEvidence::SeveralJobs);
      CPPUNIT_ASSERT(crashes.IsGivenUp());
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, crashes.Runs().size());
    });
    aSection.It("is suspected only while its worker may have crashed", [] {
      // Guards against tasks that are given up for workers that were cut off.
      TaskCrashes crashes;
      for (const RunNumber run : { RunNumber(1), RunNumber(2), RunNumber(3) }) {
        crashes.AddLoss(run);
        CPPUNIT_ASSERT(crashes.IsSuspected());
        CPPUNIT_ASSERT(!crashes.IsGivenUp());
        crashes.RemoveLoss(run);
        CPPUNIT_ASSERT(!crashes.IsSuspected());
      }
      CPPUNIT_ASSERT(crashes.Runs().empty());
    });
  });
}

} // namespace oriolevane
