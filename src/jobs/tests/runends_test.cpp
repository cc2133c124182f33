#include <string>

#include "framework/log.h"
#include "framework/testing/testgroup.h"
#include "jobs/tests/fakecell.h"

namespace oriolevane {

using testing::Section;
using namespace jobs;
using namespace std::chrono_literals;

namespace {

constexpr Millis kLongestStop{ 900 };

// Two workers that take the longest time that is allowed to end a run. The
// first one has tasks that run longer than any lease.
class SlowStopCell
{
public:
  explicit SlowStopCell(Millis aMaxPollWait = 10ms,
                        bool aListedWhileStopping = true)
    : mCell({ .mWorkers = 2, .mMaxPollWait = aMaxPollWait })
  {
    mCell.mPlan = [=](const TaskKey&, RunNumber, const WorkerId&) {
      return RunPlan{ .mDuration = 20000ms,
                      .mStopTime = kLongestStop,
                      .mExpiryTime = kLongestStop,
                      .mListedWhileStopping = aListedWhileStopping };
    };
    mCell.RunFor(10000ms);
    mCell.Submit("job", SingleStepJob(MakeStep(8, 1000, 20000ms)), MakeQueue());
    mCell.RunFor(1000ms);
    CPPUNIT_ASSERT(RunsOnFirst() > 0);
  }

  // The first worker gets no calls any more and ends its runs.
  void CutOff() { mCell.SetWorkerUnreachable(0, true); }

  // The runs of the first worker have to start again elsewhere, once they have
  // ended there.
  void CheckRestarts(Millis aWithin)
  {
    const std::size_t lost = RunsOnFirst();
    const std::size_t before = Starts();
    mCell.RunFor(aWithin);
    CPPUNIT_ASSERT_EQUAL(std::string(), Violations());
    CPPUNIT_ASSERT(Starts() >= before + lost);
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
  std::size_t RunsOnFirst() { return mCell.WorkerAt(0).Runs().size(); }
  std::size_t Starts() const
  {
    std::size_t starts = 0;
    for (const auto& [task, workers] : mCell.mStarts) {
      starts += workers.size();
    }
    return starts;
  }
};

void
ExpiredLeaseStories(Section& aSection)
{
  aSection.Describe("that the worker is still ending", [](Section& aInner) {
    aInner.It("do not run elsewhere before they have ended", [] {
      SlowStopCell cell;
      cell.CutOff();
      cell.CheckRestarts(7000ms);
    });
    aInner.It("do not run elsewhere by the next owner either", [] {
      SlowStopCell cell;
      cell.CutOff();
      cell.mCell.TakeOver(3000ms);
      cell.CheckRestarts(11000ms);
    });
    aInner.It("do not by one whose predecessor has stopped", [] {
      SlowStopCell cell;
      cell.CutOff();
      cell.mCell.TakeOver();
      cell.mCell.EndPredecessor();
      cell.CheckRestarts(7000ms);
    });
  });
}

void
FormerProcessStories(Section& aSection)
{
  aSection.Describe("of a former process of the worker", [](Section& aInner) {
    aInner.It("do not run elsewhere because a successor answers", [] {
      SlowStopCell cell;
      cell.mCell.ReplaceWorker(0);
      cell.CheckRestarts(8000ms);
    });
    aInner.It("do not after a second successor either", [] {
      SlowStopCell cell;
      cell.mCell.ReplaceWorker(0);
      cell.mCell.RunFor(1500ms);
      cell.mCell.ReplaceWorker(0);
      cell.CheckRestarts(8000ms);
    });
    aInner.It("do not by an owner that takes over meanwhile", [] {
      SlowStopCell cell;
      cell.mCell.ReplaceWorker(0);
      cell.mCell.RunFor(700ms);
      cell.mCell.TakeOver();
      cell.mCell.EndPredecessor();
      cell.CheckRestarts(8000ms);
    });
    aInner.It("do not by one that takes over before the restart is known", [] {
      SlowStopCell cell(2000ms);
      cell.mCell.ReplaceWorker(0);
      cell.mCell.TakeOver();
      cell.mCell.EndPredecessor();
      cell.CheckRestarts(8000ms);
    });
    aInner.It("do not by one that hears later that it has stopped", [] {
      SlowStopCell cell;
      cell.mCell.ReplaceWorker(0);
      cell.mCell.TakeOver();
      cell.mCell.RunFor(100ms);
      cell.mCell.EndPredecessor();
      cell.CheckRestarts(8000ms);
    });
    // Guards against a wait that each restart of the worker begins anew.
    aInner.It("run elsewhere though the worker restarts again", [] {
      SlowStopCell cell;
      for (int restart = 0; restart < 10; ++restart) {
        cell.mCell.ScheduleAfter(2000ms * restart,
                                 [&cell] { cell.mCell.ReplaceWorker(0); });
      }
      cell.CheckRestarts(8000ms);
    });
    aInner.It("do not by one whose predecessor goes on", [] {
      SlowStopCell cell(2000ms);
      cell.mCell.ReplaceWorker(0);
      cell.mCell.TakeOver(3000ms);
      cell.CheckRestarts(12000ms);
    });
  });
  aSection.It("do not by the owner after the one that found it idle", [] {
    SlowStopCell cell;
    cell.mCell.ReplaceWorker(0);
    cell.mCell.TakeOver();
    cell.mCell.EndPredecessor();
    cell.mCell.RunFor(500ms);
    cell.mCell.DrainWorker(0);
    cell.mCell.RunFor(500ms);
    cell.mCell.TakeOver();
    cell.mCell.EndPredecessor();
    cell.CheckRestarts(8000ms);
  });
  aSection.It("do not run elsewhere because their address is reused", [] {
    SlowStopCell cell;
    cell.mCell.ReuseAddressOf(0);
    cell.CheckRestarts(7000ms);
  });
}

void
StoppedRunStories(Section& aSection)
{
  aSection.It("do not run elsewhere because it lists them no more", [] {
    SlowStopCell cell(10ms, false);
    cell.mCell.DrainWorker(0, 3000ms);
    cell.CheckRestarts(3500ms);
  });
}

void
RunEndTests(Section& aRoot)
{
  aRoot.Describe("runs on a worker that cannot be reached",
                 [](Section& aSection) {
                   ExpiredLeaseStories(aSection);
                   FormerProcessStories(aSection);
                 });
  aRoot.Describe("runs that a worker stops", StoppedRunStories);
}

} // namespace

} // namespace oriolevane

int
main(int aCount, char** aArguments)
{
  oriolevane::SetLogLevel(oriolevane::LogLevel::Error);
  return oriolevane::testing::RunTests(
    aCount, aArguments, { { "run ends", oriolevane::RunEndTests } });
}
