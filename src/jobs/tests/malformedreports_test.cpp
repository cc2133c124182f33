#include "jobs/tests/fakecell.h"
#include "jobs/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace jobs;
using namespace std::chrono_literals;

namespace {

// Keys that differ from an existing task "job.0.0.0" in one part, by amounts
// beyond what the job has.
std::vector<TaskKey>
MissingTasks()
{
  std::vector<TaskKey> tasks;
  for (const int number : { -1, 1, 99, INT32_MAX }) {
    const JobId job("job");
    tasks.push_back({ .mStep = { .mJob = job, .mOccurrence = number } });
    tasks.push_back({ .mStep = { .mJob = job, .mStep = number } });
    tasks.push_back({ .mStep = { .mJob = job }, .mIndex = number });
  }
  tasks.push_back({ .mStep = { .mJob = JobId("other") } });
  return tasks;
}

PollAnswer
ReportOf(const FakeCell& aCell, const FakeWorker& aWorker)
{
  PollAnswer answer{ .mResult = OrderResult::Done, .mReport = {} };
  answer.mReport.mNow = WorkerTime(aWorker.Clock(aCell.Now()));
  answer.mReport.mIncarnation = aWorker.Entry().mIncarnation;
  return answer;
}

} // namespace

void
MalformedReportTests(Section& aRoot)
{
  // These guard against an owner that ends, or gives up a job, because of what
  // one worker or one peer sends.
  aRoot.Describe(
    "a message about tasks that do not exist", [](Section& aSection) {
      aSection.It("does not stop the job when a worker reports them", [] {
        FakeCell cell({ .mWorkers = 2 });
        cell.RunFor(200ms);
        cell.Submit(
          "job", SingleStepJob(MakeStep(1, 1000, 600ms)), MakeQueue());
        cell.RunFor(200ms);
        const FakeWorker& worker = cell.WorkerAt(0);
        const PollOrder poll{ .mWorker = { .mId = worker.Entry().mId },
                              .mSerial = 1'000 };
        PollAnswer answer = ReportOf(cell, worker);
        std::uint64_t serial = 100;
        for (const TaskKey& task : MissingTasks()) {
          answer.mReport.mRunning.push_back(
            { .mTask = task, .mRun = RunNumber(7), .mPercent = 1'000'000 });
          for (const EndKind kind : { EndKind::Succeeded, EndKind::Failed }) {
            answer.mReport.mEnded.push_back({ .mSerial = ++serial,
                                              .mTask = task,
                                              .mRun = RunNumber(8),
                                              .mKind = kind });
          }
        }
        cell.Scheduler().OnPollAnswer(
          poll, cell.NowMoment().mSteady, answer, cell.NowMoment());
        cell.RunUntilFinal("job", 20'000ms);
        CPPUNIT_ASSERT(cell.StateOf("job") == JobState::Completed);
      });
      aSection.It("does not stop the job when advice names them", [] {
        FakeCell cell;
        cell.RunFor(200ms);
        cell.Submit(
          "job", SingleStepJob(MakeStep(1, 1000, 600ms)), MakeQueue());
        for (const TaskKey& task : MissingTasks()) {
          cell.Scheduler().OnAdvice({ .mStep = task.mStep,
                                      .mAnswered = true,
                                      .mAsked = { WorkerId("none") },
                                      .mApproved = { { WorkerId("none"), "" } },
                                      .mValidity = {} },
                                    cell.NowMoment());
        }
        cell.RunUntilFinal("job", 5'000ms);
        CPPUNIT_ASSERT(cell.StateOf("job") == JobState::Completed);
      });
    });
}

} // namespace oriolevane
