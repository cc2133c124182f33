#include "jobs/tests/fakecell.h"
#include "jobs/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace jobs;
using namespace std::chrono_literals;

namespace {

// Guards against an owner that goes on after another node may have taken over,
// which counts the leases of a released owner from its own takeover.
void
DescribeEndedOwner(Section& aRoot)
{
  aRoot.Describe("an owner whose ownership has ended", [](Section& aSection) {
    aSection.It("does not repeat a start order without an answer", [] {
      FakeCell cell;
      cell.RunFor(200ms);
      int orders = 0;
      cell.mStartDelivery = [&orders](const StartOrder&) {
        ++orders;
        return Delivery::Dropped;
      };
      cell.Submit("job", SingleStepJob(MakeStep(1, 1000, 900ms)), MakeQueue());
      cell.RunFor(100ms);
      CPPUNIT_ASSERT_EQUAL(1, orders);
      cell.Scheduler().EndOwnership();
      cell.RunFor(2000ms);
      CPPUNIT_ASSERT_EQUAL(1, orders);
    });
    aSection.It("lets the leases run out, whatever the store shows", [] {
      FakeCell cell({ .mWorkers = 1 });
      cell.RunFor(200ms);
      cell.Submit(
        "job", SingleStepJob(MakeStep(1, 1000, 20000ms)), MakeQueue());
      cell.RunFor(5000ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, cell.WorkerAt(0).Runs().size());
      cell.Scheduler().EndOwnership();
      cell.RunFor(4500ms);
      CPPUNIT_ASSERT(cell.WorkerAt(0).Runs().empty());
    });
    aSection.It("starts nothing new", [] {
      FakeCell cell;
      cell.RunFor(200ms);
      cell.Scheduler().EndOwnership();
      cell.Submit("job", SingleStepJob(MakeStep(1, 1000, 900ms)), MakeQueue());
      cell.RunFor(2000ms);
      CPPUNIT_ASSERT(cell.mStarts.empty());
    });
  });
}

} // namespace

void
EndedOwnershipTests(Section& aRoot)
{
  DescribeEndedOwner(aRoot);
}

} // namespace oriolevane
