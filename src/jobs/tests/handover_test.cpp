#include "jobs/tests/fakecell.h"
#include "jobs/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace jobs;
using namespace std::chrono_literals;

namespace {

constexpr Millis kBetweenHandovers{ 2500 };
constexpr int kHandovers = 5;

// A cell that runs one long-running task, and changes its owner again and
// again.
class ChangingCell
{
public:
  ChangingCell()
  {
    mCell.RunFor(200ms);
    StepSpec step = MakeStep(1, 1000, 60000ms);
    step.mLongRunning = true;
    mCell.Submit("job", SingleStepJob(step), MakeQueue());
    mCell.RunFor(1000ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Starts());
  }

  // The worker that runs the task.
  std::size_t FirstWorker() const
  {
    return std::stoul(mCell.mStarts.at(kTask).front().mValue.substr(1));
  }
  std::size_t Starts() const
  {
    const auto found = mCell.mStarts.find(kTask);
    return found == mCell.mStarts.end() ? 0 : found->second.size();
  }
  void HandOverAgainAndAgain()
  {
    for (int handover = 0; handover < kHandovers; ++handover) {
      mCell.HandOver();
      mCell.RunFor(kBetweenHandovers);
    }
  }

  FakeCell mCell;

private:
  static inline const TaskKey kTask{ .mStep = { .mJob = JobId("job") } };
};

} // namespace

void
HandoverTests(Section& aRoot)
{
  aRoot.Describe(
    "a cell that changes its owner again and again", [](Section& aSection) {
      // Guards against review/9: each owner waited for the leases of its
      // predecessor from its own takeover on, and none waited long enough.
      aSection.It("starts a task of a lost worker again meanwhile", [] {
        ChangingCell cell;
        cell.mCell.CrashWorker(cell.FirstWorker());
        cell.mCell.RunFor(1000ms);
        cell.HandOverAgainAndAgain();
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, cell.Starts());
      });
      aSection.It("leaves a task alone on a worker that is cut off", [] {
        ChangingCell cell;
        cell.mCell.SetWorkerUnreachable(cell.FirstWorker(), true);
        cell.mCell.RunFor(1000ms);
        cell.HandOverAgainAndAgain();
        CPPUNIT_ASSERT(cell.mCell.mViolations.empty());
      });
      aSection.It("leaves a task alone on a worker that is cut off late", [] {
        ChangingCell cell;
        cell.mCell.HandOver();
        cell.mCell.RunFor(kBetweenHandovers);
        cell.mCell.SetWorkerUnreachable(cell.FirstWorker(), true);
        cell.HandOverAgainAndAgain();
        CPPUNIT_ASSERT(cell.mCell.mViolations.empty());
      });
    });
}

} // namespace oriolevane
