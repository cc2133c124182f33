#include <fmt/format.h>

#include "jobs/tests/fakecell.h"
#include "jobs/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace jobs;
using namespace std::chrono_literals;

namespace {

using OwnerConfiguration = FakeCell::OwnerConfiguration;

// The first run of each task fails soon, and the others succeed later.
RunPlan
FailsOnce(const TaskKey&, RunNumber aRun, const WorkerId&)
{
  const bool first = aRun == RunNumber(1);
  return { .mDuration = first ? 100ms : 3000ms, .mFails = first };
}

// Guards against review/7: after a takeover a job followed its queue's policy
// as it was at its submission, and waited for room in the pool of that time.
void
MovesToPresentPool(OwnerConfiguration aOrder)
{
  FakeCell cell;
  cell.mOwnerConfiguration = aOrder;
  cell.RunFor(200ms);
  QueuePolicy queue = MakeQueue();
  queue.mPool = PoolName("without workers");
  cell.Submit("job", SingleStepJob(MakeStep(2, 1000, 100ms)), queue);
  cell.RunFor(500ms);
  cell.SetQueuesOfLaterOwners({ MakeQueue() });
  cell.TakeOver();
  cell.RunUntilFinal("job", 12000ms);
  CPPUNIT_ASSERT(cell.StateOf("job") == JobState::Completed);
}

// Guards against a job that is shown as failed, for good, though its queue
// allows more attempts by now.
void
AllowsPresentAttempts(OwnerConfiguration aOrder)
{
  FakeCell cell;
  cell.mOwnerConfiguration = aOrder;
  cell.mPlan = FailsOnce;
  cell.RunFor(200ms);
  cell.Submit("job", SingleStepJob(MakeStep(1, 1000, 100ms)), MakeQueue(1));
  // The record is in the store by now, and the first run has not failed yet.
  cell.RunFor(60ms);
  cell.SetQueuesOfLaterOwners({ MakeQueue(3) });
  cell.ConfigureOwner();
  cell.RunFor(1000ms);
  cell.TakeOver();
  cell.RunUntilFinal("job", 20000ms);
  CPPUNIT_ASSERT(cell.StateOf("job") == JobState::Completed);
}

void
DescribeBothOrders(Section& aRoot)
{
  aRoot.Describe(
    "a new owner whose configuration differs from the records",
    [](Section& aSection) {
      for (const OwnerConfiguration order :
           { OwnerConfiguration::BeforeRecords,
             OwnerConfiguration::AfterRecords }) {
        const std::string_view text = order == OwnerConfiguration::BeforeRecords
                                        ? "configuration first"
                                        : "records first";
        aSection.It(fmt::format("places jobs on the present pool ({})", text),
                    [order] { MovesToPresentPool(order); });
        aSection.It(
          fmt::format("allows the present number of attempts ({})", text),
          [order] { AllowsPresentAttempts(order); });
      }
    });
}

void
DescribeMissingConfiguration(Section& aRoot)
{
  aRoot.Describe("a new owner without a configuration", [](Section& aSection) {
    aSection.It("keeps what runs, and starts nothing", [] {
      FakeCell cell;
      cell.mOwnerConfiguration = OwnerConfiguration::Later;
      cell.RunFor(200ms);
      JobSpec spec = SingleStepJob(MakeStep(1, 1000, 2000ms));
      spec.mSteps.push_back(spec.mSteps.front());
      spec.mSteps[1].mAfter = { 0 };
      cell.Submit("job", spec, MakeQueue());
      cell.RunFor(500ms);
      cell.TakeOver();
      cell.EndPredecessor();
      cell.RunFor(10000ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, cell.mStarts.size());
      cell.ConfigureOwner();
      cell.RunUntilFinal("job", 5000ms);
      CPPUNIT_ASSERT(cell.StateOf("job") == JobState::Completed);
      for (const auto& [task, starts] : cell.mStarts) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, starts.size());
      }
    });
    aSection.It("ends no job by the attempts that its record allows", [] {
      FakeCell cell;
      cell.mOwnerConfiguration = OwnerConfiguration::Later;
      cell.mPlan = [](const TaskKey&, RunNumber aRun, const WorkerId&) {
        return RunPlan{ .mDuration = 2000ms, .mFails = aRun == RunNumber(1) };
      };
      cell.RunFor(200ms);
      cell.Submit("job", SingleStepJob(MakeStep(1, 1000, 100ms)), MakeQueue(1));
      cell.RunFor(500ms);
      cell.SetQueuesOfLaterOwners({ MakeQueue(3) });
      cell.TakeOver();
      cell.RunFor(4000ms);
      CPPUNIT_ASSERT(cell.StateOf("job") == JobState::Running);
      cell.ConfigureOwner();
      cell.RunUntilFinal("job", 20000ms);
      CPPUNIT_ASSERT(cell.StateOf("job") == JobState::Completed);
    });
  });
}

} // namespace

void
RecoveredPolicyTests(Section& aRoot)
{
  DescribeBothOrders(aRoot);
  DescribeMissingConfiguration(aRoot);
}

} // namespace oriolevane
