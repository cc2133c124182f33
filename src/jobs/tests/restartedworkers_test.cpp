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

// Two workers, of which the first one restarts under its id.
class RestartCell
{
public:
  explicit RestartCell(Millis aMaxPollWait = 10ms)
    : mCell({ .mWorkers = 2, .mMaxPollWait = aMaxPollWait })
  {
    mCell.RunFor(10000ms);
  }

  // Crashes the first worker and restarts it. Its calls that are on their way
  // arrive right after the restart.
  void RestartBeforeLateCalls()
  {
    mCell.mLateDelay = kDowntime + 10ms;
    mCell.mDelivery = [](const WorkerId& aWorker) {
      return aWorker == kRestarted ? Delivery::Late : Delivery::Normal;
    };
    mCell.RunFor(30ms);
    mCell.mDelivery = nullptr;
    mCell.CrashWorker(0);
    mCell.RunFor(kDowntime - 25ms);
    mCell.RestartWorker(0);
    mCell.RunFor(500ms);
  }

  // Submits a job with tasks for both workers that run longer than any lease.
  void SubmitLongTasks()
  {
    const std::size_t before = StartsOnRestarted();
    mCell.Submit("job", SingleStepJob(MakeStep(8, 1000, 20000ms)), MakeQueue());
    mCell.RunFor(50ms);
    CPPUNIT_ASSERT(StartsOnRestarted() > before);
  }

  // Submits a job whose first step runs on the other worker until 800 ms after
  // the call. Its second step can then start on the first worker.
  void SubmitWhileCutOff()
  {
    mCell.SetWorkerUnreachable(0, true);
    mCell.RunFor(3000ms);
    JobSpec spec = SingleStepJob(MakeStep(1, 1000, 3900ms));
    spec.mSteps.push_back(MakeStep(1, 500, 20000ms));
    spec.mSteps[1].mAfter = { 0 };
    mCell.Submit("job", spec, MakeQueue());
    mCell.RunFor(100ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, StartsOnRestarted());
    mCell.SetWorkerUnreachable(0, false);
    // The next restart changes nothing in the worker's record, so that starts
    // need no store after it.
    mCell.CrashWorker(0);
    mCell.RestartWorker(0);
    mCell.RunFor(3000ms);
  }

  // Another owner takes over, and learns that its predecessor has stopped.
  void TakeOver()
  {
    mCell.TakeOver();
    mCell.EndPredecessor();
  }

  void TakeOverAfter(Millis aDelay)
  {
    mCell.ScheduleAfter(aDelay, [this] { TakeOver(); });
  }

  std::size_t StartsOnRestarted() const
  {
    std::size_t starts = 0;
    for (const auto& [task, workers] : mCell.mStarts) {
      starts += std::count(workers.begin(), workers.end(), kRestarted);
    }
    return starts;
  }

  // The restarted worker's runs have to start again, on the other worker.
  void CheckRestarts()
  {
    mCell.RunFor(9000ms);
    for (const auto& [task, workers] : mCell.mStarts) {
      CPPUNIT_ASSERT(workers.back() != kRestarted);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), Violations());
  }

  std::string Violations() const
  {
    std::string text;
    for (const std::string& violation : mCell.mViolations) {
      text += violation + "\n";
    }
    return text;
  }

  FakeCell mCell;

private:
  static constexpr Millis kDowntime{ 600 };
  inline static const WorkerId kRestarted{ "w0" };
};

void
RestartedWorkerTests(Section& aRoot)
{
  aRoot.Describe("a worker that restarted under its id", [](Section& aSection) {
    aSection.It("keeps a task that it got before the restart was known", [] {
      RestartCell cell(2000ms);
      // Between two polls.
      cell.mCell.RunFor(500ms);
      cell.mCell.CrashWorker(0);
      cell.mCell.RestartWorker(0);
      cell.SubmitLongTasks();
      cell.mCell.SetWorkerUnreachable(0, true);
      cell.CheckRestarts();
    });
    aSection.It("gets no lease by the clock of its former process", [] {
      RestartCell cell(2000ms);
      cell.SubmitWhileCutOff();
      // The answer to this start comes after the restart is known.
      cell.mCell.mStartDelivery = [](const StartOrder&) {
        return Delivery::AnswerLate;
      };
      cell.mCell.Submit(
        "wide", SingleStepJob(MakeStep(1, 7500, 20000ms)), MakeQueue());
      cell.mCell.RunFor(50ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, cell.StartsOnRestarted());
      cell.mCell.mStartDelivery = nullptr;
      // Without the store, the wide run is not known to be gone.
      cell.mCell.SetStoreUnavailable(true);
      cell.mCell.CrashWorker(0);
      cell.mCell.RestartWorker(0);
      cell.mCell.RunFor(1000ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, cell.StartsOnRestarted());
      cell.mCell.SetWorkerUnreachable(0, true);
      cell.mCell.SetStoreUnavailable(false);
      cell.CheckRestarts();
    });
    aSection.Describe("and got a late renewal", [](Section& aInner) {
      aInner.It("loses no task to another worker before its lease ends", [] {
        RestartCell cell;
        cell.RestartBeforeLateCalls();
        cell.SubmitLongTasks();
        cell.mCell.SetWorkerUnreachable(0, true);
        cell.CheckRestarts();
      });
      aInner.It("loses none to the next owner either", [] {
        RestartCell cell;
        cell.RestartBeforeLateCalls();
        cell.SubmitLongTasks();
        cell.mCell.SetWorkerUnreachable(0, true);
        cell.TakeOver();
        cell.CheckRestarts();
      });
      aInner.It("loses none to an owner that took over meanwhile", [] {
        RestartCell cell;
        cell.TakeOverAfter(400ms);
        cell.RestartBeforeLateCalls();
        cell.SubmitLongTasks();
        cell.mCell.SetWorkerUnreachable(0, true);
        cell.CheckRestarts();
      });
      aInner.It("loses none to the owner after that one", [] {
        RestartCell cell;
        cell.TakeOverAfter(400ms);
        cell.RestartBeforeLateCalls();
        cell.SubmitLongTasks();
        cell.mCell.SetWorkerUnreachable(0, true);
        cell.TakeOver();
        cell.CheckRestarts();
      });
    });
  });
}

// Two workers with labels "a" and "b". The first one crashes and is back at
// once, and the registry shows its new entry 300 ms later.
class ChangedWorkerCell
{
public:
  ChangedWorkerCell()
    : mCell({ .mWorkers = 2, .mEditEntry = [](int aIndex, WorkerEntry& aEntry) {
               aEntry.mKind = aIndex == 0 ? "a" : "b";
             } })
  {
    mCell.RunFor(1000ms);
  }

  void Restart()
  {
    mCell.CrashWorker(0);
    mCell.RestartWorker(0);
  }
  // Submits short jobs for a label during aTime, and returns how many of their
  // tasks the first worker has started.
  std::size_t StartsOnFirst(const std::string& aLabel, Millis aTime)
  {
    const std::string name = "job" + std::to_string(++mRound) + "-";
    for (Millis time{}; time < aTime; time += 10ms) {
      StepSpec step = MakeStep(1, 1000, 50ms);
      step.mRequiredLabel = aLabel;
      mCell.Submit(
        name + std::to_string(time.count()), SingleStepJob(step), MakeQueue());
      mCell.RunFor(10ms);
    }
    return std::count_if(
      mCell.mStarts.begin(), mCell.mStarts.end(), [&name](const auto& aEntry) {
        return aEntry.first.mStep.mJob.mValue.starts_with(name) &&
               aEntry.second.front() == WorkerId("w0");
      });
  }

  FakeCell mCell;

private:
  int mRound = 0;
};

// Guards against review/14: tasks were started on a worker that was back as
// another kind, by the entry of its former process.
void
ChangedWorkerTests(Section& aRoot)
{
  aRoot.Describe("a worker that is back under its id", [](Section& aSection) {
    aSection.It("as another kind gets no task by its former label", [] {
      ChangedWorkerCell cell;
      cell.mCell.WorkerAt(0).SetKind("b");
      cell.Restart();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, cell.StartsOnFirst("a", 2000ms));
      StepSpec wide = MakeStep(16, 1000, 1000ms);
      wide.mRequiredLabel = "b";
      cell.mCell.Submit("wide", SingleStepJob(wide), MakeQueue());
      cell.mCell.RunFor(200ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 8 },
                           cell.mCell.WorkerAt(0).Runs().size());
    });
    aSection.It("gets no task before its entry is read", [] {
      ChangedWorkerCell cell;
      cell.Restart();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, cell.StartsOnFirst("a", 280ms));
      CPPUNIT_ASSERT(cell.StartsOnFirst("a", 500ms) > 0);
    });
  });
  // Guards against review/13: another writer's entry gave a worker more
  // capacity than it had.
  aRoot.It("an entry that names no process changes no worker that does", [] {
    ChangedWorkerCell cell;
    WorkerEntry entry = cell.mCell.WorkerAt(0).Entry();
    entry.mIncarnation = WorkerIncarnation();
    entry.mCapacity = Times(entry.mCapacity, 4);
    cell.mCell.Scheduler().RegisterWorker(entry, cell.mCell.NowMoment());
    cell.mCell.Submit(
      "job", SingleStepJob(MakeStep(60, 1000, 100ms)), MakeQueue());
    cell.mCell.RunFor(2000ms);
    CPPUNIT_ASSERT(cell.mCell.mViolations.empty());
    CPPUNIT_ASSERT(cell.mCell.StateOf("job") == JobState::Completed);
  });
}

} // namespace

} // namespace oriolevane

int
main(int aCount, char** aArguments)
{
  oriolevane::SetLogLevel(oriolevane::LogLevel::Error);
  return oriolevane::testing::RunTests(
    aCount,
    aArguments,
    { { "restarted workers", oriolevane::RestartedWorkerTests },
      { "changed workers", oriolevane::ChangedWorkerTests } });
}
