#include "jobs/tests/fakecell.h"
#include "jobs/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace jobs;
using namespace std::chrono_literals;

namespace {

void
DescribeUnrecordedFinalState(Section& aRoot)
{
  aRoot.Describe(
    "a job whose last progress is recorded, but not its final state",
    [](Section& aSection) {
      aSection.It("is finished by the next owner", [] {
        CellScheduler scheduler({ .mEpoch = Epoch(2) },
                                { .mStart = [](const StartOrder&) {},
                                  .mStop = [](const StopOrder&) {},
                                  .mPoll = [](const PollOrder&) {},
                                  .mAskAdvice = [](const AdviceQuery&) {},
                                  .mOnFenced = [](const WorkerId&) {} });
        CellRecords records;
        records.mJobs.push_back(
          { .mId = JobId("job"),
            .mQueue = MakeQueue(2),
            .mSpec = SingleStepJob(MakeStep(1, 1000, 100ms)) });
        records.mProgress.push_back(
          { .mJob = JobId("job"),
            .mSteps = {
              { .mTasks = {
                  { .mFailedRuns = { RunNumber(1), RunNumber(2) } } } } } });
        const Moment now{ .mSteady = TimePoint(1000s), .mUnix = 1000s };
        scheduler.Configure({}, now);
        scheduler.Recover(records, now);
        scheduler.Records().TakeBatch(100);
        scheduler.OnRecorded(scheduler.Records().Confirm(), now);
        CPPUNIT_ASSERT(scheduler.Find(JobId("job"))->mState ==
                       JobState::Failed);
      });
    });
}

// Guards against a job that an owner accepted and its successor takes for
// closed.
void
DescribeForeignCancellation(Section& aRoot)
{
  aRoot.Describe("a job whose id another team has cancelled",
                 [](Section& aSection) {
                   aSection.It("runs under the next owner, too", [] {
                     FakeCell cell;
                     cell.RunFor(200ms);
                     cell.Scheduler().CancelUnsubmitted(
                       JobId("job"), TeamId("other"), cell.NowMoment());
                     cell.RunFor(100ms);
                     cell.Submit("job",
                                 SingleStepJob(MakeStep(1, 1000, 1000ms)),
                                 MakeQueue(),
                                 TeamId("own"));
                     cell.RunFor(200ms);
                     cell.TakeOver();
                     cell.RunUntilFinal("job", 20000ms);
                     CPPUNIT_ASSERT(cell.StateOf("job") == JobState::Completed);
                   });
                 });
}

} // namespace

void
FinalStateTests(Section& aRoot)
{
  DescribeUnrecordedFinalState(aRoot);
  DescribeForeignCancellation(aRoot);
}

} // namespace oriolevane
