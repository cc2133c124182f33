#include <algorithm>
#include <string>

#include "framework/log.h"
#include "framework/testing/testgroup.h"
#include "jobs/tests/fakecell.h"

namespace oriolevane {

using testing::Section;
using namespace jobs;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kWorkers = 12;
constexpr Millis kDowntime{ 600 };
// Tasks take longer than the time between two faults.
constexpr Millis kTaskTime{ 12000 };
// A worker that is cut off for so long loses its lease and, without an entry
// in the registry, counts as gone.
constexpr Millis kLongCut{ 12000 };

TaskKey
FirstTaskOf(const std::string& aJob)
{
  return { .mStep = { .mJob = JobId(aJob) } };
}

std::size_t
IndexOf(const WorkerId& aWorker)
{
  return std::stoul(aWorker.mValue.substr(1));
}

// A cell whose tasks never crash their workers, and only fail if mPlan of the
// cell says so.
class InnocentCell
{
public:
  InnocentCell()
    : mCell({ .mWorkers = kWorkers })
  {
    mCell.RunFor(200ms);
  }

  void Submit(const StepSpec& aStep)
  {
    const std::string job = "job" + std::to_string(mJobs++);
    mCell.Submit(job, SingleStepJob(aStep), MakeQueue());
  }

  // Submits single tasks and a gang, and lets them start.
  void SubmitOfEachKind()
  {
    for (int count = 0; count < 2; ++count) {
      Submit(MakeStep(4, 2000, kTaskTime));
    }
    StepSpec gang = MakeStep(4, 5000, kTaskTime);
    gang.mGang = true;
    Submit(gang);
    mCell.RunFor(500ms);
  }

  void SubmitLongRunning(const std::string& aJob)
  {
    StepSpec step = MakeStep(1, 6000, 0ms);
    step.mLongRunning = true;
    mCell.mPlan = [](const TaskKey&, RunNumber, const WorkerId&) {
      return RunPlan{ .mDuration = 600000ms };
    };
    mCell.Submit(aJob, SingleStepJob(step), MakeQueue());
    mCell.RunFor(500ms);
  }

  void CrashFor(std::size_t aWorker, Millis aDowntime)
  {
    if (!mCell.WorkerAt(aWorker).IsUp()) {
      return;
    }
    mCell.CrashWorker(aWorker);
    mCell.ScheduleAfter(aDowntime,
                        [this, aWorker] { mCell.RestartWorker(aWorker); });
  }

  // Crashes the worker that started the task last.
  void CrashWorkerOf(const TaskKey& aTask)
  {
    CrashFor(IndexOf(mCell.mStarts.at(aTask).back()), kDowntime);
  }

  // Cuts a worker off, and removes its entry once it has been silent.
  void CutOffAndUnregister(std::size_t aWorker)
  {
    mCell.SetWorkerUnreachable(aWorker, true);
    mCell.ScheduleAfter(4500ms, [this, aWorker] {
      mCell.Scheduler().UnregisterWorker(mCell.WorkerAt(aWorker).Entry().mId,
                                         mCell.NowMoment());
    });
  }

  void Return(std::size_t aWorker)
  {
    mCell.SetWorkerUnreachable(aWorker, false);
    mCell.Scheduler().RegisterWorker(mCell.WorkerAt(aWorker).Entry(),
                                     mCell.NowMoment());
  }

  void ExpectAllCompleted()
  {
    mCell.RunFor(60000ms);
    CPPUNIT_ASSERT_EQUAL(std::string(), mCell.FailedWithoutCause());
    for (int job = 0; job < mJobs; ++job) {
      CPPUNIT_ASSERT(mCell.StateOf("job" + std::to_string(job)) ==
                     JobState::Completed);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         mCell.mViolations.empty() ? ""
                                                   : mCell.mViolations.front());
  }

  FakeCell mCell;

private:
  int mJobs = 0;
};

void
DescribeCrashesOfOthers(Section& aRoot)
{
  aRoot.Describe("while workers crash for other reasons", [](Section& aInner) {
    aInner.It("does not fail when most of them crash again and again", [] {
      InnocentCell cell;
      cell.SubmitOfEachKind();
      for (int round = 0; round < 8; ++round) {
        cell.mCell.RunFor(5000ms);
        for (std::size_t worker = 0; worker < kWorkers * 4 / 5; ++worker) {
          cell.CrashFor(worker, kDowntime);
        }
      }
      cell.ExpectAllCompleted();
    });
    aInner.It("does not fail when a few crash all the time", [] {
      InnocentCell cell;
      cell.SubmitOfEachKind();
      for (std::size_t round = 0; round < 30; ++round) {
        cell.CrashFor(2 * round % kWorkers, kDowntime);
        cell.CrashFor((2 * round + 1) % kWorkers, kDowntime);
        cell.mCell.RunFor(1000ms);
      }
      cell.ExpectAllCompleted();
    });
    aInner.It("does not fail when it is alone on two of them", [] {
      InnocentCell cell;
      cell.Submit(MakeStep(1, 6000, 3000ms));
      for (int crash = 0; crash < 2; ++crash) {
        cell.mCell.RunFor(1000ms);
        cell.CrashWorkerOf(FirstTaskOf("job0"));
        cell.mCell.RunFor(5000ms);
      }
      cell.ExpectAllCompleted();
    });
    aInner.It("does not fail for crashes over the life of a service", [] {
      InnocentCell cell;
      cell.SubmitLongRunning("service");
      for (int crash = 0; crash < 8; ++crash) {
        cell.CrashWorkerOf(FirstTaskOf("service"));
        cell.mCell.RunFor(20000ms);
        CPPUNIT_ASSERT_EQUAL(std::string(), cell.mCell.FailedWithoutCause());
      }
      CPPUNIT_ASSERT(cell.mCell.StateOf("service") == JobState::Running);
      CPPUNIT_ASSERT(cell.mCell.mStarts.at(FirstTaskOf("service")).size() == 9);
    });
  });
}

void
DescribeMissingWorkers(Section& aRoot)
{
  aRoot.Describe("while workers are away", [](Section& aInner) {
    aInner.It("does not fail when they are cut off and start anew", [] {
      InnocentCell cell;
      cell.SubmitOfEachKind();
      for (std::size_t round = 0; round < 8; ++round) {
        for (std::size_t worker = 0; worker < kWorkers; ++worker) {
          cell.mCell.SetWorkerUnreachable(worker, worker % 2 == round % 2);
        }
        cell.mCell.RunFor(4000ms);
        for (std::size_t worker = 0; worker < kWorkers; ++worker) {
          if (worker % 2 == round % 2) {
            cell.mCell.SetWorkerUnreachable(worker, false);
            cell.CrashFor(worker, 2ms);
          }
        }
        cell.mCell.RunFor(2500ms);
      }
      cell.ExpectAllCompleted();
    });
    aInner.It("does not fail when they leave the registry and return", [] {
      InnocentCell cell;
      cell.SubmitOfEachKind();
      for (std::size_t round = 0; round < 6; ++round) {
        for (std::size_t worker = 0; worker < kWorkers; ++worker) {
          cell.CutOffAndUnregister(worker);
        }
        cell.mCell.RunFor(kLongCut);
        for (std::size_t worker = 0; worker < kWorkers; ++worker) {
          cell.Return(worker);
        }
        cell.mCell.RunFor(2000ms);
      }
      cell.ExpectAllCompleted();
    });
    aInner.It("does not fail when the owner changes meanwhile", [] {
      InnocentCell cell;
      cell.Submit(MakeStep(1, 6000, 9000ms));
      for (int round = 0; round < 3; ++round) {
        cell.mCell.RunFor(1000ms);
        const std::size_t index =
          IndexOf(cell.mCell.mStarts.at(FirstTaskOf("job0")).back());
        cell.CutOffAndUnregister(index);
        cell.mCell.RunFor(kLongCut);
        cell.mCell.TakeOver();
        cell.mCell.RunFor(500ms);
        cell.Return(index);
      }
      cell.ExpectAllCompleted();
    });
    aInner.It("does not fail when another worker has their address", [] {
      InnocentCell cell;
      cell.Submit(MakeStep(1, 6000, kTaskTime));
      for (int round = 0; round < 3; ++round) {
        cell.mCell.RunFor(1000ms);
        cell.mCell.ReuseAddressOf(
          IndexOf(cell.mCell.mStarts.at(FirstTaskOf("job0")).back()));
        cell.mCell.RunFor(8000ms);
      }
      cell.ExpectAllCompleted();
    });
  });
}

void
DescribeFailedRuns(Section& aRoot)
{
  aRoot.Describe("with failed runs below the limit", [](Section& aInner) {
    aInner.It("does not fail for lost runs beside them", [] {
      InnocentCell cell;
      cell.mCell.mPlan = [](const TaskKey&, RunNumber aRun, const WorkerId&) {
        return RunPlan{ .mDuration = 2000ms, .mFails = aRun.mValue <= 2 };
      };
      cell.Submit(MakeStep(2, 1000, 2000ms));
      cell.mCell.RunFor(5000ms);
      for (int round = 0; round < 2; ++round) {
        for (std::size_t worker = 0; worker < kWorkers; ++worker) {
          cell.mCell.SetWorkerUnreachable(worker, true);
        }
        cell.mCell.RunFor(kLongCut);
        for (std::size_t worker = 0; worker < kWorkers; ++worker) {
          cell.mCell.SetWorkerUnreachable(worker, false);
        }
        cell.mCell.RunFor(300ms);
      }
      cell.ExpectAllCompleted();
    });
    aInner.It("does not fail before a new owner knows the limit", [] {
      InnocentCell cell;
      cell.mCell.mPlan = [](const TaskKey&, RunNumber aRun, const WorkerId&) {
        return RunPlan{ .mDuration = 1000ms, .mFails = aRun.mValue <= 2 };
      };
      cell.Submit(MakeStep(2, 1000, 1000ms));
      cell.mCell.RunFor(1500ms);
      cell.mCell.mOwnerConfiguration = FakeCell::OwnerConfiguration::Later;
      cell.mCell.TakeOver();
      cell.mCell.RunFor(3000ms);
      cell.mCell.ConfigureOwner();
      cell.ExpectAllCompleted();
    });
    aInner.It("does not fail at a takeover when its limit is 0", [] {
      InnocentCell cell;
      cell.mCell.Submit(
        "job0", SingleStepJob(MakeStep(1, 1000, 3000ms)), MakeQueue(0));
      cell.mCell.RunFor(500ms);
      cell.mCell.TakeOver();
      cell.mCell.RunUntilFinal("job0", 20000ms);
      CPPUNIT_ASSERT(cell.mCell.StateOf("job0") == JobState::Completed);
    });
    aInner.It("does not fail for several members of one run of a gang", [] {
      InnocentCell cell;
      cell.mCell.mPlan = [](const TaskKey&, RunNumber aRun, const WorkerId&) {
        return RunPlan{ .mDuration = 1000ms, .mFails = aRun.mValue <= 2 };
      };
      StepSpec gang = MakeStep(4, 5000, 1000ms);
      gang.mGang = true;
      cell.Submit(gang);
      cell.mCell.RunFor(1200ms);
      cell.mCell.TakeOver();
      cell.ExpectAllCompleted();
    });
  });
}

} // namespace

} // namespace oriolevane

int
main(int aCount, char** aArguments)
{
  using namespace oriolevane;
  SetLogLevel(LogLevel::Error);
  return testing::RunTests(
    aCount,
    aArguments,
    { { "a job without a fault of its own", [](testing::Section& aRoot) {
         DescribeCrashesOfOthers(aRoot);
         DescribeMissingWorkers(aRoot);
         DescribeFailedRuns(aRoot);
       } } });
}
