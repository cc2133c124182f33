#include <random>

#include <fmt/format.h>

#include "jobs/internal/runtracker.h"
#include "jobs/tests/fakecell.h"
#include "jobs/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace jobs;
using namespace std::chrono_literals;

namespace {

const TeamId kTeam("red");
const TeamId kOtherTeam("blue");

std::vector<teams::TeamPolicy>
QuotaOf(std::int64_t aMilliCores)
{
  return { { .mName = kTeam, .mQuota = { .mMilliCores = aMilliCores } },
           { .mName = kOtherTeam } };
}

JobSpec
Gang(int aMembers, std::int64_t aMilliCores, Millis aEstimate)
{
  JobSpec job = SingleStepJob(MakeStep(aMembers, aMilliCores, aEstimate));
  job.mSteps[0].mGang = true;
  return job;
}

// Runs the cell, and returns the most that the team used on the workers.
std::int64_t
PeakUsage(FakeCell& aCell, Millis aTime)
{
  std::int64_t peak = 0;
  for (Millis elapsed{ 0 }; elapsed < aTime; elapsed += 2ms) {
    aCell.RunFor(2ms);
    peak = std::max(peak, aCell.UsageOf(kTeam).mMilliCores);
  }
  return peak;
}

void
DescribeTasks(Section& aRoot)
{
  aRoot.Describe(
    "a step that is wider than its team's quota", [](Section& aSection) {
      aSection.It("runs in waves, and leaves the rest to others", [] {
        // Guards against starts beyond the quota.
        FakeCell cell;
        cell.Configure(QuotaOf(4000));
        cell.RunFor(200ms);
        cell.Submit(
          "wide", SingleStepJob(MakeStep(20, 1000, 200ms)), MakeQueue(), kTeam);
        cell.Submit("other",
                    SingleStepJob(MakeStep(20, 1000, 200ms)),
                    MakeQueue(),
                    kOtherTeam);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{ 4000 }, PeakUsage(cell, 300ms));
        CPPUNIT_ASSERT(cell.StateOf("other") == JobState::Completed);
        cell.RunUntilFinal("wide", 3000ms);
        CPPUNIT_ASSERT(cell.StateOf("wide") == JobState::Completed);
        CPPUNIT_ASSERT(cell.mViolations.empty());
      });
    });
  aRoot.Describe(
    "a task that is larger than its team's quota", [](Section& aSection) {
      aSection.It("runs when the team has nothing else running", [] {
        // Guards against a task that waits for ever.
        FakeCell cell;
        cell.Configure(QuotaOf(2000));
        cell.RunFor(200ms);
        cell.Submit(
          "large", SingleStepJob(MakeStep(3, 5000, 200ms)), MakeQueue(), kTeam);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{ 5000 }, PeakUsage(cell, 1500ms));
        CPPUNIT_ASSERT(cell.StateOf("large") == JobState::Completed);
      });
    });
  aRoot.Describe("a quota that changes", [](Section& aSection) {
    aSection.It("stops nothing when lowered, and starts more when raised", [] {
      // Guards against steps that are not tried again after a change.
      FakeCell cell;
      cell.Configure(QuotaOf(8000));
      cell.RunFor(200ms);
      cell.Submit(
        "job", SingleStepJob(MakeStep(16, 1000, 500ms)), MakeQueue(), kTeam);
      cell.RunFor(100ms);
      cell.Configure(QuotaOf(2000));
      cell.RunFor(100ms);
      CPPUNIT_ASSERT_EQUAL(std::int64_t{ 8000 },
                           cell.UsageOf(kTeam).mMilliCores);
      cell.RunFor(400ms);
      CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2000 },
                           cell.UsageOf(kTeam).mMilliCores);
      cell.Configure(QuotaOf(6000));
      cell.RunFor(50ms);
      CPPUNIT_ASSERT_EQUAL(std::int64_t{ 6000 },
                           cell.UsageOf(kTeam).mMilliCores);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 14 }, cell.mStarts.size());
    });
  });
}

void
DescribeWaiting(Section& aRoot)
{
  aRoot.Describe(
    "a step that waits for its team's quota", [](Section& aSection) {
      aSection.It("asks for no advice and reserves no capacity", [] {
        // Guards against a team that takes capacity which its quota forbids it
        // to use.
        FakeCell cell;
        cell.Configure(QuotaOf(8000));
        QueuePolicy advised = MakeQueue();
        advised.mName = QueueName("advised");
        advised.mAdvice =
          AdvicePolicy{ .mDecisionTime = 5ms, .mValidity = 500ms };
        cell.RunFor(200ms);
        cell.Submit("long", Gang(2, 4000, 3000ms), MakeQueue(), kTeam);
        cell.RunFor(50ms);
        cell.Submit("blocked", Gang(2, 4000, 500ms), MakeQueue(), kTeam);
        cell.Submit("asking", Gang(2, 4000, 500ms), advised, kTeam);
        cell.RunFor(1000ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, cell.mQueryCount);
        // All of the remaining capacity, by tasks that outlast the gang's wait.
        cell.Submit("fill",
                    SingleStepJob(MakeStep(10, 4000, 4000ms)),
                    MakeQueue(),
                    kOtherTeam);
        cell.RunFor(100ms);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{ 40000 },
                             cell.UsageOf(kOtherTeam).mMilliCores);
      });
      aSection.It("is not overtaken for ever by its team's single tasks", [] {
        // Guards against a gang that starves in its own team. All jobs are
        // within the guarantee.
        FakeCell cell;
        std::vector<teams::TeamPolicy> teams = QuotaOf(4000);
        teams[0].mWeight = 10;
        cell.Configure(teams);
        cell.RunFor(200ms);
        QueuePolicy tolerant = MakeQueue();
        tolerant.mLatencyTarget = 60000ms;
        for (int job = 0; job < 40; ++job) {
          cell.Submit(
            fmt::format("single{}", job),
            SingleStepJob(MakeStep(1, 1000, 200ms + 70ms * (job % 4))),
            tolerant,
            kTeam);
        }
        cell.RunFor(100ms);
        QueuePolicy gangQueue = MakeQueue();
        gangQueue.mLatencyTarget = 2000ms;
        cell.Submit("gang", Gang(4, 1000, 200ms), gangQueue, kTeam);
        cell.RunFor(1200ms);
        CPPUNIT_ASSERT(cell.StateOf("gang") == JobState::Completed);
      });
    });
}

void
DescribeGangs(Section& aRoot)
{
  aRoot.Describe("a gang at its team's quota", [](Section& aSection) {
    aSection.It("uses the excess, and one task more in an idle team", [] {
      // Guards against gangs that count member by member.
      FakeCell cell({ .mScheduling = { .mQuotaExcess = 0.1 } });
      cell.Configure(QuotaOf(10000));
      cell.RunFor(200ms);
      cell.Submit("first", Gang(1, 1000, 300ms), MakeQueue(), kTeam);
      cell.RunFor(50ms);
      cell.Submit("excess", Gang(5, 2000, 300ms), MakeQueue(), kTeam);
      cell.RunFor(50ms);
      CPPUNIT_ASSERT_EQUAL(std::int64_t{ 11000 },
                           cell.UsageOf(kTeam).mMilliCores);
      cell.Submit("wide", Gang(6, 2200, 300ms), MakeQueue(), kTeam);
      cell.RunFor(50ms);
      CPPUNIT_ASSERT_EQUAL(std::int64_t{ 11000 },
                           cell.UsageOf(kTeam).mMilliCores);
      cell.RunFor(350ms);
      CPPUNIT_ASSERT_EQUAL(std::int64_t{ 13200 },
                           cell.UsageOf(kTeam).mMilliCores);
      cell.RunUntilFinal("wide", 1000ms);
      CPPUNIT_ASSERT(cell.mViolations.empty());
    });
  });
}

void
DescribeRefusals(Section& aRoot)
{
  aRoot.Describe("a submission", [](Section& aSection) {
    aSection.It("is refused when a gang can never fit its team's quota", [] {
      // Guards against a gang that waits for ever, and against the refusal of
      // one that fits.
      FakeCell cell;
      cell.Configure(QuotaOf(4000));
      const auto refusal = [&cell](int aMembers, const TeamId& aTeam) {
        return cell.Scheduler().RefusalFor(
          { .mId = JobId("gang"),
            .mQueue = MakeQueue(),
            .mSpec = Gang(aMembers, 1000, 100ms),
            .mTeam = aTeam },
          cell.NowMoment());
      };
      CPPUNIT_ASSERT(!refusal(5, kTeam).has_value());
      CPPUNIT_ASSERT(!refusal(6, kOtherTeam).has_value());
      const std::optional<Refusal> refused = refusal(6, kTeam);
      CPPUNIT_ASSERT(refused.has_value());
      CPPUNIT_ASSERT(refused->mReason == RefusalReason::GangExceedsQuota);
      CPPUNIT_ASSERT(!refused->mRetryAfter.has_value());
      const SchedulerCounts counts = cell.Scheduler().Counts();
      CPPUNIT_ASSERT_EQUAL(
        std::uint64_t{ 1 },
        counts.mTeams[0].mRefused.at(RefusalReason::GangExceedsQuota));
    });
    aSection.It("borrows beyond the guarantee, and gives way to others", [] {
      // Guards against borrowed capacity that delays guaranteed work, also
      // after a takeover.
      FakeCell cell({ .mWorkers = 1 });
      cell.Configure({ { .mName = kTeam, .mWeight = 1 },
                       { .mName = kOtherTeam, .mWeight = 1 } });
      cell.RunFor(200ms);
      // Uses up what the team may submit at once.
      for (int job = 0; job < 20; ++job) {
        cell.Submit(fmt::format("short{}", job),
                    SingleStepJob(MakeStep(1, 100, 1ms)),
                    MakeQueue(),
                    kTeam);
      }
      cell.RunFor(200ms);
      for (int job = 0; job < 9; ++job) {
        cell.Submit(fmt::format("red{}", job),
                    SingleStepJob(MakeStep(1, 8000, 400ms)),
                    MakeQueue(),
                    kTeam);
      }
      cell.RunFor(100ms);
      cell.TakeOver();
      QueuePolicy tolerant = MakeQueue();
      tolerant.mLatencyTarget = 5000ms;
      cell.Submit(
        "blue", SingleStepJob(MakeStep(1, 8000, 200ms)), tolerant, kOtherTeam);
      cell.RunFor(700ms);
      const std::optional<Refusal> refused = cell.Scheduler().RefusalFor(
        { .mId = JobId("late"),
          .mQueue = MakeQueue(),
          .mSpec = SingleStepJob(MakeStep(1, 8000, 400ms)),
          .mTeam = kOtherTeam },
        cell.NowMoment());
      CPPUNIT_ASSERT(cell.StateOf("blue") != JobState::Queued);
      CPPUNIT_ASSERT(!refused.has_value());
    });
  });
}

void
DescribeTakeover(Section& aRoot)
{
  aRoot.Describe(
    "a new owner that has not found all runs", [](Section& aSection) {
      aSection.It("counts those that the team may have", [] {
        // Guards against a quota that is used twice after a takeover.
        FakeCell cell;
        cell.Configure(QuotaOf(16000));
        cell.RunFor(200ms);
        cell.Submit(
          "old", SingleStepJob(MakeStep(8, 2000, 3000ms)), MakeQueue(), kTeam);
        cell.RunFor(300ms);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{ 16000 },
                             cell.UsageOf(kTeam).mMilliCores);
        // Two workers do not answer, and keep their runs.
        cell.SetWorkerUnreachable(0, true);
        cell.SetWorkerUnreachable(1, true);
        cell.TakeOver();
        cell.Submit(
          "new", SingleStepJob(MakeStep(8, 2000, 500ms)), MakeQueue(), kTeam);
        CPPUNIT_ASSERT(PeakUsage(cell, 2500ms) <= 16000);
        cell.RunUntilFinal("new", 20000ms);
        CPPUNIT_ASSERT(cell.mViolations.empty());
      });
      aSection.It("counts those of a job that is cancelled meanwhile", [] {
        // Guards against a closed job that is forgotten before its runs are
        // found.
        FakeCell cell;
        cell.Configure(QuotaOf(16000));
        cell.RunFor(200ms);
        cell.Submit(
          "old", SingleStepJob(MakeStep(2, 8000, 3000ms)), MakeQueue(), kTeam);
        cell.RunFor(300ms);
        for (std::size_t worker = 0; worker < 6; ++worker) {
          if (!cell.WorkerAt(worker).Runs().empty()) {
            cell.SetWorkerUnreachable(worker, true);
          }
        }
        cell.TakeOver();
        cell.Cancel("old");
        cell.Submit(
          "new", SingleStepJob(MakeStep(4, 2000, 200ms)), MakeQueue(), kTeam);
        CPPUNIT_ASSERT(PeakUsage(cell, 2000ms) <= 16000);
        cell.RunUntilFinal("new", 20000ms);
        CPPUNIT_ASSERT(cell.mViolations.empty());
      });
    });
}

Resources
SumOfRuns(CellState& aCell, const TeamId& aTeam)
{
  Resources sum;
  for (const auto& [id, worker] : aCell.mFleet.Workers()) {
    for (const RunPointer& run : worker.mRuns) {
      sum += run->mTeam == aTeam ? run->mResources : Resources();
    }
  }
  return sum;
}

void
DescribeUsage(Section& aRoot)
{
  aRoot.Describe("the usage of a team", [](Section& aSection) {
    aSection.It("equals the sum of its runs after random events", [] {
      // Guards against a run that is counted twice or never given back.
      CellState cell({},
                     { .mStart = [](const StartOrder&) {},
                       .mStop = [](const StopOrder&) {} });
      RunTracker runs(cell);
      std::mt19937_64 random(7);
      const auto pick = [&random](std::uint64_t aCount) {
        return random() % aCount;
      };
      for (int worker = 0; worker < 4; ++worker) {
        cell.mFleet.Register({ .mId = WorkerId(fmt::format("w{}", worker)) },
                             {});
      }
      for (int job = 0; job < 8; ++job) {
        Job& added =
          cell.mJobs.Add({ .mId = JobId(fmt::format("j{}", job)),
                           .mQueue = MakeQueue(),
                           .mSpec = SingleStepJob(MakeStep(
                             4, std::int64_t{ 100 } * (job + 1), 100ms)),
                           .mTeam = job % 2 == 0 ? kTeam : kOtherTeam },
                         {});
        cell.mJobs.OpenDueOccurrences(added, {});
      }
      for (std::uint64_t event = 1; event <= 2000; ++event) {
        Worker& worker =
          *cell.mFleet.Find(WorkerId(fmt::format("w{}", pick(4))));
        const TaskKey task{ .mStep = { .mJob =
                                         JobId(fmt::format("j{}", pick(9))) },
                            .mIndex = static_cast<int>(pick(4)) };
        Job* job = cell.mJobs.Find(task.mStep.mJob);
        if (pick(2) == 0 && !worker.mRuns.empty()) {
          runs.RemoveRun(worker, worker.mRuns[pick(worker.mRuns.size())].get());
        } else if (job != nullptr && pick(2) == 0) {
          runs.Start(*job, task, RunNumber(event), worker, {}, {}, {});
        } else {
          runs.Adopt(worker, { .mTask = task, .mRun = RunNumber(event) }, {});
        }
        for (const TeamId& team : { kTeam, kOtherTeam }) {
          CPPUNIT_ASSERT(cell.mTeams.Ledger().UsageOf(team) ==
                         SumOfRuns(cell, team));
        }
      }
    });
  });
}

} // namespace

void
QuotaTests(Section& aRoot)
{
  DescribeTasks(aRoot);
  DescribeWaiting(aRoot);
  DescribeGangs(aRoot);
  DescribeRefusals(aRoot);
  DescribeTakeover(aRoot);
  DescribeUsage(aRoot);
}

} // namespace oriolevane
