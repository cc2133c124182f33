#include "jobs/tests/fakecell.h"
#include "jobs/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace jobs;
using namespace std::chrono_literals;

namespace {

constexpr Resources kQuarter{ .mMilliCores = 2000, .mMemoryMiB = 8000 };
// Longer than the registry takes to show a changed capacity.
constexpr Millis kUntilKnown = 320ms;

JobSpec
Gang(int aMembers, std::int64_t aMilliCores, Millis aEstimate)
{
  JobSpec job = SingleStepJob(MakeStep(aMembers, aMilliCores, aEstimate));
  job.mSteps[0].mGang = true;
  return job;
}

JobSpec
Tasks(int aCount, std::int64_t aMilliCores, Millis aEstimate)
{
  return SingleStepJob(MakeStep(aCount, aMilliCores, aEstimate));
}

void
SetAll(FakeCell& aCell, std::size_t aWorkers, const Resources& aCapacity)
{
  for (std::size_t worker = 0; worker < aWorkers; ++worker) {
    aCell.SetWorkerCapacity(worker, aCapacity);
  }
}

void
ExpectNoViolation(const FakeCell& aCell)
{
  std::string violations;
  for (const std::string& violation : aCell.mViolations) {
    violations += violation + "\n";
  }
  CPPUNIT_ASSERT_EQUAL(std::string(), violations);
}

std::size_t
RunsOn(FakeCell& aCell, std::size_t aWorker)
{
  return aCell.WorkerAt(aWorker).Runs().size();
}

void
DescribeShrink(Section& aRoot)
{
  aRoot.Describe("a worker that shrinks below its runs", [](Section& aSection) {
    aSection.It("gets single tasks only once enough runs have ended", [] {
      // Guards against starts that fit the earlier capacity alone.
      FakeCell cell({ .mWorkers = 2 });
      cell.RunFor(200ms);
      cell.Submit("first", Tasks(8, 2000, 1500ms), MakeQueue());
      cell.RunFor(100ms);
      SetAll(cell, 2, kQuarter);
      cell.RunFor(kUntilKnown);
      cell.Submit("second", Tasks(12, 1000, 300ms), MakeQueue());
      cell.RunFor(300ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, RunsOn(cell, 0));
      cell.RunUntilFinal("second", 6000ms);
      ExpectNoViolation(cell);
    });
    aSection.It("counts runs that are being stopped", [] {
      // Guards against starts beside cancelled tasks that still run.
      FakeCell cell({ .mWorkers = 1 });
      cell.mPlan = [](const TaskKey&, RunNumber, const WorkerId&) {
        return RunPlan{ .mDuration = 3000ms, .mStopTime = 800ms };
      };
      cell.RunFor(200ms);
      cell.Submit("cancelled", Tasks(4, 2000, 3000ms), MakeQueue());
      cell.RunFor(100ms);
      SetAll(cell, 1, kQuarter);
      cell.RunFor(kUntilKnown);
      cell.Cancel("cancelled");
      cell.Submit("next", Tasks(2, 2000, 3000ms), MakeQueue());
      cell.RunFor(700ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, RunsOn(cell, 0));
      cell.RunFor(400ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, RunsOn(cell, 0));
      ExpectNoViolation(cell);
    });
  });
}

void
DescribeTakeover(Section& aRoot)
{
  aRoot.Describe("a new owner of a worker that has shrunk",
                 [](Section& aSection) {
                   aSection.It("counts the runs that it finds there", [] {
                     // Guards against starts beside adopted runs that exceed
                     // the capacity.
                     FakeCell cell({ .mWorkers = 2 });
                     cell.RunFor(200ms);
                     cell.Submit("first", Tasks(8, 2000, 3000ms), MakeQueue());
                     cell.RunFor(300ms);
                     SetAll(cell, 2, kQuarter);
                     cell.RunFor(kUntilKnown);
                     cell.TakeOver(1000ms);
                     cell.Submit("gang", Gang(2, 1000, 300ms), MakeQueue());
                     cell.Submit("single", Tasks(4, 1000, 300ms), MakeQueue());
                     cell.RunFor(1500ms);
                     CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, RunsOn(cell, 0));
                     cell.RunUntilFinal("gang", 9000ms);
                     cell.RunUntilFinal("single", 9000ms);
                     for (const auto& [task, starts] : cell.mStarts) {
                       CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, starts.size());
                     }
                     ExpectNoViolation(cell);
                   });
                 });
}

void
DescribeRestart(Section& aRoot)
{
  aRoot.Describe("a worker that restarts under its id", [](Section& aSection) {
    aSection.It("is held to its new, smaller capacity", [] {
      // Guards against a capacity that is kept from the earlier incarnation.
      FakeCell cell({ .mWorkers = 2 });
      cell.RunFor(200ms);
      cell.Submit("first", Tasks(8, 2000, 1500ms), MakeQueue());
      cell.RunFor(300ms);
      cell.CrashWorker(1);
      cell.SetWorkerCapacity(1, kQuarter);
      cell.RunFor(200ms);
      cell.RestartWorker(1);
      cell.RunFor(kUntilKnown);
      cell.Submit("second", Tasks(8, 1000, 500ms), MakeQueue());
      cell.RunUntilFinal("first", 9000ms);
      cell.RunUntilFinal("second", 9000ms);
      ExpectNoViolation(cell);
    });
  });
}

} // namespace

void
CapacityTests(Section& aRoot)
{
  DescribeShrink(aRoot);
  DescribeTakeover(aRoot);
  DescribeRestart(aRoot);
}

} // namespace oriolevane
