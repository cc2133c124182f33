#include "crashes/taskcrashes.h"

#include <string>
#include <vector>

#include "crashes/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace crashes;

namespace {

constexpr auto kNone = CrashEvidence::Inconclusive;
constexpr auto kLone = CrashEvidence::LoneCrash;
constexpr auto kSound = CrashEvidence::LoneCrashInSoundCell;

// The crashes of runs with the given evidence, each on a worker of its own.
TaskCrashes
CrashesWith(const std::vector<CrashEvidence>& aEvidence)
{
  TaskCrashes crashes;
  std::uint64_t run = 0;
  for (const CrashEvidence evidence : aEvidence) {
    ++run;
    crashes.AddCrash(RunNumber(run),
                     { .mWorker = WorkerId("w" + std::to_string(run)),
                       .mEvidence = evidence });
  }
  return crashes;
}

void
DescribeGivenUp(Section& aRoot)
{
  aRoot.Describe("a task", [](Section& aSection) {
    // Guards against a task that is given up for two crashes, or never.
    aSection.It("is given up at the third crash in a sound cell", [] {
      CPPUNIT_ASSERT(!CrashesWith({ kSound, kSound }).IsGivenUp());
      CPPUNIT_ASSERT(CrashesWith({ kSound, kSound, kSound }).IsGivenUp());
      CPPUNIT_ASSERT(CrashesWith({ kSound, kNone, kSound }).IsGivenUp());
      CPPUNIT_ASSERT(!CrashesWith({ kSound, kNone, kLone }).IsGivenUp());
    });
    aSection.It("is given up for more evidence in another cell", [] {
      CPPUNIT_ASSERT(!CrashesWith({ kLone, kLone, kNone, kNone }).IsGivenUp());
      CPPUNIT_ASSERT(CrashesWith({ kLone, kLone, kLone }).IsGivenUp());
      CPPUNIT_ASSERT(
        CrashesWith({ kNone, kNone, kNone, kLone, kLone }).IsGivenUp());
    });
    // Guards against innocent tasks that are given up for crashes beside them.
    aSection.It("is never given up without evidence", [] {
      CPPUNIT_ASSERT(!CrashesWith(std::vector(40, kNone)).IsGivenUp());
    });
    // Guards against tasks that are given up for one bad worker.
    aSection.It("is never given up for the crashes of one worker", [] {
      TaskCrashes crashes;
      for (std::uint64_t run = 1; run < 9; ++run) {
        crashes.AddCrash(RunNumber(run),
                         { .mWorker = WorkerId("w"), .mEvidence = kSound });
      }
      CPPUNIT_ASSERT(!crashes.IsGivenUp());
    });
    // Guards against a crash that the registry and a report both show.
    aSection.It("counts a crash once, however often it is seen", [] {
      TaskCrashes crashes;
      CPPUNIT_ASSERT(crashes.AddCrash(RunNumber(1), { .mEvidence = kSound }));
      CPPUNIT_ASSERT(!crashes.AddCrash(RunNumber(1), { .mEvidence = kSound }));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, crashes.Crashes().size());
    });
    // Guards against a count that begins again at each takeover.
    aSection.It("keeps the crashes that an earlier owner recorded", [] {
      TaskCrashes crashes(CrashesWith({ kSound, kNone }).Crashes());
      CPPUNIT_ASSERT(crashes.IsSuspected());
      crashes.AddCrash(RunNumber(1001),
                       { .mWorker = WorkerId("v"), .mEvidence = kSound });
      CPPUNIT_ASSERT(crashes.IsGivenUp());
    });
  });
}

void
DescribeSuspicion(Section& aRoot)
{
  aRoot.Describe("a suspected task", [](Section& aSection) {
    // Guards against tasks that are given up for workers that were cut off.
    aSection.It("is suspected only while its worker may have crashed", [] {
      TaskCrashes crashes;
      CPPUNIT_ASSERT(!crashes.IsSuspected());
      for (const RunNumber run : { RunNumber(1), RunNumber(2), RunNumber(3) }) {
        crashes.AddLoss(run);
        CPPUNIT_ASSERT(crashes.IsSuspected());
        CPPUNIT_ASSERT(!crashes.IsGivenUp());
        crashes.RemoveLoss(run);
        CPPUNIT_ASSERT(!crashes.IsSuspected());
      }
      CPPUNIT_ASSERT(crashes.Crashes().empty());
    });
    aSection.It("is isolated after two crashes or losses", [] {
      TaskCrashes crashes = CrashesWith({ kNone });
      CPPUNIT_ASSERT(!crashes.NeedsIsolation());
      crashes.AddLoss(RunNumber(7));
      CPPUNIT_ASSERT(crashes.NeedsIsolation());
    });
    // Guards against crashes that add up over the life of a service.
    aSection.It("is not suspected after a run that has lasted", [] {
      TaskCrashes crashes = CrashesWith({ kSound, kSound });
      crashes.AddLoss(RunNumber(7));
      crashes.Clear();
      CPPUNIT_ASSERT(!crashes.IsSuspected());
      crashes.AddCrash(RunNumber(9),
                       { .mWorker = WorkerId("v"), .mEvidence = kSound });
      CPPUNIT_ASSERT(!crashes.IsGivenUp());
    });
  });
}

} // namespace

void
TaskCrashesTests(Section& aRoot)
{
  DescribeGivenUp(aRoot);
  DescribeSuspicion(aRoot);
}

} // namespace oriolevane
