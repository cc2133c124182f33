#include "jobs/tests/fakecell.h"
#include "jobs/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace jobs;
using namespace std::chrono_literals;

namespace {

const PoolName kOtherPool("other pool");

// A cell of eight workers; the last four have label "b" or another pool.
FakeCell
CellOfTwoHalves(const std::function<void(WorkerEntry&)>& aSecondHalf)
{
  return FakeCell(
    { .mWorkers = 8,
      .mEditEntry = [aSecondHalf](int aIndex, WorkerEntry& aEntry) {
        if (aIndex >= 4) {
          aSecondHalf(aEntry);
        }
      } });
}

FakeCell
CellWithLabels()
{
  return CellOfTwoHalves([](WorkerEntry& aEntry) { aEntry.mKind = "b"; });
}

FakeCell
CellWithPools()
{
  return CellOfTwoHalves(
    [](WorkerEntry& aEntry) { aEntry.mPool = kOtherPool; });
}

// Jobs of this queue have ample slack for as long as the stories last.
QueuePolicy
PatientQueue(const PoolName& aPool = MakeQueue().mPool)
{
  QueuePolicy queue = MakeQueue();
  queue.mName = QueueName("queue of " + aPool.mValue);
  queue.mPool = aPool;
  queue.mLatencyTarget = 60000ms;
  return queue;
}

JobSpec
Gang(int aMembers, std::int64_t aMilliCores, const std::string& aLabel = "")
{
  StepSpec step = MakeStep(aMembers, aMilliCores, 15000ms);
  step.mGang = true;
  step.mRequiredLabel = aLabel;
  return SingleStepJob(step);
}

JobSpec
Single(const std::string& aLabel, int aTasks = 1)
{
  StepSpec step = MakeStep(aTasks, 4000, 1000ms);
  step.mRequiredLabel = aLabel;
  return SingleStepJob(step);
}

// Fills the workers of a label with tasks that end after the story.
void
FillWorkers(FakeCell& aCell, const std::string& aLabel)
{
  StepSpec step = MakeStep(4, 8000, 30000ms);
  step.mRequiredLabel = aLabel;
  aCell.Submit("filling", SingleStepJob(step), MakeQueue());
  aCell.RunFor(200ms);
}

// Lets a gang wait for longer than it takes to limit other work.
void
LetWait(FakeCell& aCell, const JobSpec& aGang, const QueuePolicy& aQueue)
{
  aCell.Submit("gang", aGang, aQueue);
  aCell.RunFor(1000ms);
  CPPUNIT_ASSERT(aCell.StateOf("gang") == JobState::Queued);
}

void
StartsSoon(FakeCell& aCell, const JobSpec& aSpec, const QueuePolicy& aQueue)
{
  aCell.Submit("single", aSpec, aQueue);
  aCell.RunFor(300ms);
  CPPUNIT_ASSERT(aCell.StateOf("single") == JobState::Running);
}

void
DescribeHopelessGangs(Section& aRoot)
{
  aRoot.Describe("that can never start", [](Section& aSection) {
    aSection.It("for want of their label, keep nothing from it", [] {
      FakeCell cell = CellWithLabels();
      cell.RunFor(200ms);
      LetWait(cell, Gang(2, 2700, "c"), PatientQueue());
      StartsSoon(cell, Single("b"), PatientQueue());
    });
    aSection.It("as they exceed all workers, keep nothing from it", [] {
      for (const JobSpec& gang : { Gang(17, 4000), Gang(1, 9000) }) {
        FakeCell cell = CellWithLabels();
        cell.RunFor(200ms);
        LetWait(cell, gang, PatientQueue());
        StartsSoon(cell, Single("", 14), PatientQueue());
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 14 }, cell.mStarts.size());
      }
    });
    aSection.It("beside a long-running task, keep nothing from it", [] {
      FakeCell cell = CellWithLabels();
      cell.RunFor(200ms);
      StepSpec serving = MakeStep(1, 1000, 500ms);
      serving.mLongRunning = true;
      cell.Submit("serving", SingleStepJob(serving), MakeQueue());
      cell.RunFor(200ms);
      LetWait(cell, Gang(8, 8000), PatientQueue());
      StartsSoon(cell, Single("", 14), PatientQueue());
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 15 }, cell.mStarts.size());
    });
  });
}

void
DescribeWaitingGangs(Section& aRoot)
{
  aRoot.Describe("that wait for workers in use", [](Section& aSection) {
    aSection.It("of another label, keep nothing from it", [] {
      FakeCell cell = CellWithLabels();
      cell.RunFor(200ms);
      FillWorkers(cell, "a");
      LetWait(cell, Gang(4, 4000, "a"), PatientQueue());
      StartsSoon(cell, Single("b", 7), PatientQueue());
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 + 7 }, cell.mStarts.size());
    });
    aSection.It("of another pool, keep nothing from it", [] {
      FakeCell cell = CellWithPools();
      cell.RunFor(200ms);
      FillWorkers(cell, "a");
      LetWait(cell, Gang(4, 4000), PatientQueue());
      StartsSoon(cell, Single("", 7), PatientQueue(kOtherPool));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 + 7 }, cell.mStarts.size());
    });
    aSection.It("of any label, leave it some of its own workers", [] {
      FakeCell cell = CellWithLabels();
      cell.RunFor(200ms);
      FillWorkers(cell, "a");
      LetWait(cell, Gang(8, 8000), PatientQueue());
      StartsSoon(cell, Single("b"), PatientQueue());
    });
    // The limit itself stays: small tasks must not take each piece of capacity.
    aSection.It("keep most of their own workers from single tasks", [] {
      FakeCell cell = CellWithLabels();
      cell.RunFor(200ms);
      FillWorkers(cell, "a");
      LetWait(cell, Gang(6, 8000), PatientQueue());
      cell.Submit("single", Single("", 8), PatientQueue());
      cell.RunFor(300ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, cell.mStarts.size());
    });
  });
}

// Guards against gangs that get no reservation, as those of other workers have
// all that there are.
void
DescribeReservations(Section& aRoot)
{
  aRoot.It("gangs of one pool do not use up the reservations of another", [] {
    FakeCell cell(
      { .mWorkers = 16, .mEditEntry = [](int aIndex, WorkerEntry& aEntry) {
         aEntry.mPool = aIndex >= 12 ? kOtherPool : aEntry.mPool;
       } });
    cell.RunFor(200ms);
    QueuePolicy urgent = PatientQueue();
    urgent.mLatencyTarget = 30000ms;
    // Half of them run, and each of the others has a worker reserved.
    for (int gang = 0; gang < 24; ++gang) {
      cell.Submit("early" + std::to_string(gang), Gang(1, 8000), urgent);
    }
    cell.RunFor(200ms);
    // Less urgent tasks that are too late to wait keep the other pool in use.
    QueuePolicy lessUrgent = MakeQueue();
    lessUrgent.mPool = kOtherPool;
    lessUrgent.mPriority = 1;
    for (int time = 0; time < 20; ++time) {
      cell.Submit("small" + std::to_string(time),
                  SingleStepJob(MakeStep(6, 2000, 900ms)),
                  lessUrgent);
      if (time == 6) {
        cell.Submit("gang", Gang(4, 8000), PatientQueue(kOtherPool));
      }
      cell.RunFor(300ms);
    }
    CPPUNIT_ASSERT(cell.StateOf("gang") == JobState::Running);
  });
}

} // namespace

// Guards against review/15: a job stood still beside idle workers, as most of
// them were left to a gang that could not use them.
void
GangsOfOthersTests(Section& aRoot)
{
  aRoot.Describe("a job beside gangs", [](Section& aSection) {
    DescribeHopelessGangs(aSection);
    DescribeWaitingGangs(aSection);
  });
  DescribeReservations(aRoot);
}

} // namespace oriolevane
