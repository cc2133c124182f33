#include "jobs/tests/fakecell.h"
#include "jobs/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace jobs;
using namespace std::chrono_literals;

namespace {

void
DescribeRepetition(Section& aRoot)
{
  aRoot.Describe("a repeated job", [](Section& aSection) {
    aSection.It("runs each occurrence at its due time", [] {
      FakeCell cell;
      cell.RunFor(200ms);
      JobSpec spec = SingleStepJob(MakeStep(1, 1000, 50ms));
      spec.mRepetition =
        Repetition{ .mCount = 3,
                    .mFirstDue = cell.NowMoment().mUnix + 1000ms,
                    .mInterval = 1000ms };
      cell.Submit("job", spec, MakeQueue());
      cell.RunFor(900ms);
      CPPUNIT_ASSERT(cell.mStarts.empty());
      cell.RunFor(1300ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, cell.mStarts.size());
      cell.RunUntilFinal("job", 3000ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, cell.mStarts.size());
    });
  });
}

// A schedule that began a year ago, with an occurrence each minute since.
JobSpec
MakeLongSchedule(const FakeCell& aCell)
{
  JobSpec spec = SingleStepJob(MakeStep(1, 10, 50ms));
  spec.mRepetition =
    Repetition{ .mCount = 525'600,
                .mFirstDue = aCell.NowMoment().mUnix - 365 * 24h,
                .mInterval = 60'000ms };
  return spec;
}

std::size_t
RunCount(FakeCell& aCell)
{
  std::size_t runs = 0;
  for (std::size_t workerIndex = 0; workerIndex < 6; ++workerIndex) {
    runs += aCell.WorkerAt(workerIndex).Runs().size();
  }
  return runs;
}

void
DescribeLongSchedules(Section& aRoot)
{
  aRoot.Describe("a schedule that began long ago", [](Section& aSection) {
    // Guards against an owner that creates all occurrences at once, exceeds its
    // memory and ends before the job is even accepted.
    aSection.It("has only some of its occurrences open at a time", [] {
      FakeCell cell;
      cell.mPlan = [](const TaskKey&, RunNumber, const WorkerId&) {
        return RunPlan{ .mDuration = 60'000ms };
      };
      cell.RunFor(200ms);
      cell.Submit("job", MakeLongSchedule(cell), MakeQueue());
      cell.RunFor(2000ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 128 }, RunCount(cell));
    });
    aSection.It("catches up with few records, and runs each task once", [] {
      FakeCell cell({ .mMaxBatchRecords = 97 });
      cell.RunFor(200ms);
      cell.Submit("job", MakeLongSchedule(cell), MakeQueue());
      cell.RunFor(10'000ms);
      CPPUNIT_ASSERT(cell.mStarts.size() > 1000);
      for (const auto& [task, workers] : cell.mStarts) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, workers.size());
      }
      CPPUNIT_ASSERT(cell.RecordCount(RecordKind::Progress) < 400);
      CPPUNIT_ASSERT(cell.mViolations.empty());
    });
    // Guards against finished occurrences that run again, as they have no
    // records of their own any more.
    aSection.It("goes on under a new owner where the earlier one was", [] {
      FakeCell cell;
      cell.RunFor(200ms);
      cell.Submit("job", MakeLongSchedule(cell), MakeQueue());
      cell.RunFor(4000ms);
      const std::size_t before = cell.mStarts.size();
      for (int owner = 0; owner < 4; ++owner) {
        cell.TakeOver(owner % 2 == 0 ? 0ms : 600ms);
        cell.RunFor(3000ms);
      }
      CPPUNIT_ASSERT(cell.mStarts.size() > before + 500);
      CPPUNIT_ASSERT(cell.mViolations.empty());
    });
  });
}

void
DescribeScheduleTakeover(Section& aRoot)
{
  aRoot.Describe("a repeated job under a new owner", [](Section& aSection) {
    // Guards against an occurrence that is never created when a later one has
    // progress, and against ends that are not counted, because the new owner's
    // time of day is behind that of the earlier one.
    aSection.It("completes though that owner's time of day is behind", [] {
      FakeCell cell;
      cell.mPlan = [](const TaskKey& aTask, RunNumber, const WorkerId&) {
        const bool slow = aTask.mStep.mOccurrence == 1;
        return RunPlan{ .mDuration = slow ? 3000ms : 50ms };
      };
      cell.RunFor(200ms);
      JobSpec spec = SingleStepJob(MakeStep(1, 1000, 50ms));
      spec.mRepetition = Repetition{ .mCount = 4,
                                     .mFirstDue = cell.NowMoment().mUnix,
                                     .mInterval = 500ms };
      cell.Submit("job", spec, MakeQueue());
      cell.RunFor(1800ms);
      cell.ShiftTimeOfDay(-60'000ms);
      cell.TakeOver();
      cell.RunFor(8000ms);
      cell.ShiftTimeOfDay(60'000ms);
      cell.RunUntilFinal("job", 8000ms);
      CPPUNIT_ASSERT(cell.StateOf("job") == JobState::Completed);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, cell.mStarts.size());
      CPPUNIT_ASSERT(cell.mViolations.empty());
    });
    // Guards against a job that stays unfinished for good, because the earlier
    // owner stored the last end and not the final state.
    aSection.It("completes if only its last end was recorded", [] {
      FakeCell cell({ .mMaxBatchRecords = 1 });
      cell.RunFor(200ms);
      JobSpec spec = SingleStepJob(MakeStep(1, 1000, 50ms));
      spec.mRepetition = Repetition{ .mCount = 1,
                                     .mFirstDue = cell.NowMoment().mUnix,
                                     .mInterval = 500ms };
      cell.Submit("job", spec, MakeQueue());
      while (cell.RecordCount(RecordKind::Progress) == 0) {
        cell.RunFor(1ms);
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 },
                           cell.RecordCount(RecordKind::Finished));
      cell.TakeOver();
      cell.RunUntilFinal("job", 8000ms);
      CPPUNIT_ASSERT(cell.StateOf("job") == JobState::Completed);
    });
  });
}

} // namespace

void
RepeatedJobTests(Section& aRoot)
{
  DescribeRepetition(aRoot);
  DescribeLongSchedules(aRoot);
  DescribeScheduleTakeover(aRoot);
}

} // namespace oriolevane
