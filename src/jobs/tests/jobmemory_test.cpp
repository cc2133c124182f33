#include "jobs/tests/fakecell.h"
#include "jobs/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace jobs;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t kMaxMemory = 100'000'000;

// The largest job that is accepted from callers, in some 200 bytes.
JobSpec
WideJob()
{
  return { .mPayload = "payload",
           .mSteps = std::vector<StepSpec>(4, MakeStep(5000, 1000, 100ms)) };
}

JobSpec
RepeatedJob()
{
  JobSpec spec{ .mSteps =
                  std::vector<StepSpec>(200, MakeStep(1, 1000, 100ms)) };
  spec.mRepetition = { .mCount = 500'000, .mInterval = 1ms };
  return spec;
}

FakeCell
MakeCell()
{
  return FakeCell(
    { .mScheduling = { .mJobLimits = { .mBytes = kMaxMemory } } });
}

bool
HasRoomFor(FakeCell& aCell, const std::string& aId, const JobSpec& aSpec)
{
  return aCell.Scheduler().HasRoomFor(
    { .mId = JobId(aId), .mQueue = MakeQueue(), .mSpec = aSpec });
}

std::string
Name(int aJob)
{
  return "job" + std::to_string(aJob);
}

// Submits jobs until one has no room, and returns how many were submitted.
int
Fill(FakeCell& aCell, const JobSpec& aSpec)
{
  constexpr int kMostJobs = 20'000;
  int jobs = 0;
  while (jobs < kMostJobs && HasRoomFor(aCell, Name(jobs), aSpec)) {
    aCell.Submit(Name(jobs), aSpec, MakeQueue());
    ++jobs;
  }
  CPPUNIT_ASSERT(jobs > 0 && jobs < kMostJobs);
  CPPUNIT_ASSERT(aCell.Scheduler().Counts().mFootprint.mBytes <= kMaxMemory);
  return jobs;
}

} // namespace

// Guards against owners that exceed the memory of their host one after the
// other, as each one accepts or loads the same jobs.
void
JobMemoryTests(Section& aRoot)
{
  aRoot.Describe(
    "jobs beyond what the host has for jobs", [](Section& aSection) {
      aSection.It("have no room, however short their requests are", [] {
        FakeCell wide = MakeCell();
        CPPUNIT_ASSERT(Fill(wide, WideJob()) < 10);
        FakeCell repeated = MakeCell();
        CPPUNIT_ASSERT(Fill(repeated, RepeatedJob()) < 100);
      });
      // Guards against placement passes that take an owner's whole processor.
      aSection.It(
        "have no room once a placement pass has many steps to look at", [] {
          FakeCell cell(
            { .mScheduling = { .mJobLimits = { .mOpenSteps = 5000 } } });
          CPPUNIT_ASSERT_EQUAL(5, Fill(cell, RepeatedJob()));
          CPPUNIT_ASSERT(
            !HasRoomFor(cell, "next", SingleStepJob(MakeStep(1, 1, 1ms))));
        });
      aSection.It("leave the room for as many tasks in small jobs", [] {
        FakeCell cell = MakeCell();
        const int tasks = 20 * Fill(cell, SingleStepJob(MakeStep(20, 10, 1ms)));
        CPPUNIT_ASSERT(tasks > 100'000);
      });
      aSection.It("have room again once others have ended", [] {
        FakeCell cell = MakeCell();
        cell.RunFor(200ms);
        const int jobs = Fill(cell, WideJob());
        cell.RunFor(200ms);
        cell.Cancel(Name(0));
        cell.RunFor(3000ms);
        CPPUNIT_ASSERT(HasRoomFor(cell, Name(jobs), WideJob()));
      });
      aSection.It("have none at the next owner either", [] {
        FakeCell cell = MakeCell();
        cell.RunFor(200ms);
        const int jobs = Fill(cell, WideJob());
        cell.RunFor(1000ms);
        cell.TakeOver();
        CPPUNIT_ASSERT(!HasRoomFor(cell, Name(jobs), WideJob()));
      });
      aSection.It("have room if they are known already", [] {
        FakeCell cell = MakeCell();
        const int jobs = Fill(cell, WideJob());
        CPPUNIT_ASSERT(HasRoomFor(cell, Name(jobs - 1), WideJob()));
      });
      aSection.It("have the room of a submission that was withdrawn", [] {
        FakeCell cell = MakeCell();
        const int jobs = Fill(cell, WideJob());
        CPPUNIT_ASSERT(cell.Scheduler().Withdraw(JobId(Name(jobs - 1))));
        CPPUNIT_ASSERT(HasRoomFor(cell, Name(jobs), WideJob()));
      });
    });
}

} // namespace oriolevane
