#include "crashes/workerfailures.h"

#include <string>

#include "crashes/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace crashes;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kCellSize = 40;
constexpr TimePoint kCrash{ 100s };
const WorkerId kWorker("crashed");

// The failures of a cell that has been observed for some time.
WorkerFailures
ObservedFailures()
{
  WorkerFailures failures;
  failures.Observe(kCrash - 60s);
  failures.NoteRestart({ .mWorker = kWorker, .mLastAnswer = kCrash });
  failures.Observe(kCrash + 5s);
  return failures;
}

WorkerFailure
FailureOf(const std::string& aWorker, TimePoint aLastAnswer)
{
  return { .mWorker = WorkerId(aWorker), .mLastAnswer = aLastAnswer };
}

CrashEvidence
EvidenceIn(const WorkerFailures& aFailures)
{
  return aFailures.EvidenceOf(kWorker, kCrash, {}, kCellSize);
}

void
DescribeCrash(Section& aRoot)
{
  aRoot.Describe("the crash of a worker", [](Section& aSection) {
    aSection.It("shows most when no other worker has failed", [] {
      CPPUNIT_ASSERT(EvidenceIn(ObservedFailures()) ==
                     CrashEvidence::LoneCrashInSoundCell);
    });
    // Guards against tasks that are given up for the loss of a rack.
    aSection.It("shows nothing when another one fails at the time", [] {
      for (const Duration apart : { -2400ms, 0ms, 900ms }) {
        WorkerFailures failures = ObservedFailures();
        failures.NoteSilence(FailureOf("other", kCrash + apart));
        CPPUNIT_ASSERT(EvidenceIn(failures) == CrashEvidence::Inconclusive);
      }
    });
    aSection.It("shows less when workers have failed lately", [] {
      WorkerFailures failures = ObservedFailures();
      for (const char* worker : { "a", "b", "c" }) {
        failures.NoteRestart(FailureOf(worker, kCrash - 20s));
      }
      CPPUNIT_ASSERT(EvidenceIn(failures) == CrashEvidence::LoneCrash);
      CPPUNIT_ASSERT(
        failures.EvidenceOf(
          kWorker, kCrash, { WorkerId("a"), WorkerId("b") }, kCellSize) ==
        CrashEvidence::LoneCrashInSoundCell);
    });
    aSection.It("says nothing of another one with an isolated task", [] {
      WorkerFailures failures = ObservedFailures();
      failures.NoteRestart({ .mWorker = WorkerId("other"),
                             .mLastAnswer = kCrash + 100ms,
                             .mIsolated = true });
      CPPUNIT_ASSERT(EvidenceIn(failures) ==
                     CrashEvidence::LoneCrashInSoundCell);
    });
    aSection.It("says nothing of another one whose cause is known", [] {
      WorkerFailures failures = ObservedFailures();
      failures.NoteRestart(FailureOf("other", kCrash + 100ms));
      CPPUNIT_ASSERT(EvidenceIn(failures) == CrashEvidence::Inconclusive);
      failures.MarkExplained(WorkerId("other"), kCrash + 100ms);
      CPPUNIT_ASSERT(EvidenceIn(failures) ==
                     CrashEvidence::LoneCrashInSoundCell);
    });
    // Guards against old failures of a rack, of which one remains in memory.
    aSection.It("shows nothing once other failures may be forgotten", [] {
      WorkerFailures failures = ObservedFailures();
      failures.NoteRestart(FailureOf("other", kCrash));
      failures.Observe(kCrash + 61s);
      CPPUNIT_ASSERT(EvidenceIn(failures) == CrashEvidence::Inconclusive);
    });
    // Guards against an owner that knows nothing of the time before it.
    aSection.It("shows nothing when the cell was not observed before", [] {
      WorkerFailures failures;
      failures.Observe(kCrash - 2s);
      CPPUNIT_ASSERT(EvidenceIn(failures) == CrashEvidence::Inconclusive);
    });
  });
}

void
DescribeSilence(Section& aRoot)
{
  aRoot.Describe("a worker that is silent", [](Section& aSection) {
    aSection.It("has not failed if it returns as it was", [] {
      WorkerFailures failures = ObservedFailures();
      failures.NoteSilence(FailureOf("silent", kCrash));
      failures.NoteReturn(WorkerId("silent"));
      CPPUNIT_ASSERT(EvidenceIn(failures) ==
                     CrashEvidence::LoneCrashInSoundCell);
    });
    aSection.It("has failed if it returns after a restart", [] {
      WorkerFailures failures = ObservedFailures();
      failures.NoteSilence(FailureOf("silent", kCrash));
      failures.NoteRestart(FailureOf("silent", kCrash));
      failures.NoteReturn(WorkerId("silent"));
      CPPUNIT_ASSERT(EvidenceIn(failures) == CrashEvidence::Inconclusive);
    });
    aSection.It("ends the calm of its cell until its cause is known", [] {
      WorkerFailures failures;
      CPPUNIT_ASSERT(failures.CalmFor(kCrash) == 0s);
      failures.Observe(kCrash - 60s);
      CPPUNIT_ASSERT(failures.CalmFor(kCrash) == 60s);
      failures.NoteSilence(FailureOf("silent", kCrash));
      CPPUNIT_ASSERT(failures.CalmFor(kCrash + 1s) == 1s);
      failures.MarkExplained(WorkerId("silent"), kCrash);
      CPPUNIT_ASSERT(failures.CalmFor(kCrash + 1s) == 61s);
      CPPUNIT_ASSERT(failures.QuietFor(kCrash + 1s) == 1s);
    });
  });
}

} // namespace

void
WorkerFailuresTests(Section& aRoot)
{
  DescribeCrash(aRoot);
  DescribeSilence(aRoot);
}

} // namespace oriolevane
