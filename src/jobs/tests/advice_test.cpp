#include "jobs/tests/fakecell.h"
#include "jobs/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace jobs;
using namespace std::chrono_literals;

namespace {

QueuePolicy
MakeQueueWithAdvice()
{
  QueuePolicy queue = MakeQueue();
  queue.mAdvice = AdvicePolicy{ .mDecisionTime = 40ms,
                                .mTimePerWorker = 1ms,
                                .mValidity = 1000ms };
  return queue;
}

void
DescribeWaitingSteps(Section& aRoot)
{
  aRoot.Describe("steps that wait for free capacity", [](Section& aSection) {
    aSection.It("all get an advice query as soon as they are accepted", [] {
      constexpr int kGangs = 40;
      FakeCell cell({ .mWorkers = 2 });
      std::set<StepKey> queried;
      cell.mIsAllowed = [&](const StepKey& aStep, const WorkerId&) {
        queried.insert(aStep);
        return true;
      };
      cell.RunFor(200ms);
      StepSpec step = MakeStep(2, 8000, 3000ms);
      step.mGang = true;
      for (int gang = 0; gang < kGangs; ++gang) {
        cell.Submit("gang" + std::to_string(gang),
                    { .mPayload = "", .mSteps = { step } },
                    MakeQueueWithAdvice());
      }
      cell.RunFor(500ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ kGangs }, queried.size());
    });
    aSection.It("renew tickets without asking for refused workers again", [] {
      FakeCell cell({ .mWorkers = 12 });
      std::map<WorkerId, int> queried;
      cell.mIsAllowed = [&](const StepKey& aStep, const WorkerId& aWorker) {
        queried[aWorker] += aStep.mJob.mValue == "waits" ? 1 : 0;
        return aWorker == WorkerId("w1");
      };
      cell.RunFor(200ms);
      cell.Submit("first",
                  { .mPayload = "", .mSteps = { MakeStep(1, 8000, 4000ms) } },
                  MakeQueueWithAdvice());
      cell.RunFor(300ms);
      cell.Submit("waits",
                  { .mPayload = "", .mSteps = { MakeStep(1, 8000, 100ms) } },
                  MakeQueueWithAdvice());
      cell.RunFor(3000ms);
      CPPUNIT_ASSERT(queried[WorkerId("w1")] >= 3);
      CPPUNIT_ASSERT_EQUAL(1, queried[WorkerId("w5")]);
    });
  });
}

} // namespace

void
AdviceTests(Section& aRoot)
{
  aRoot.Describe("a queue with a policy service", [](Section& aSection) {
    aSection.It("starts tasks only on the allowed workers", [] {
      FakeCell cell;
      cell.mIsAllowed = [](const StepKey&, const WorkerId& aWorker) {
        return aWorker == WorkerId("w1") || aWorker == WorkerId("w5");
      };
      cell.RunFor(200ms);
      cell.Submit("job",
                  { .mPayload = "", .mSteps = { MakeStep(12, 2000, 300ms) } },
                  MakeQueueWithAdvice());
      cell.RunUntilFinal("job", 5000ms);
      for (const auto& [task, starts] : cell.mStarts) {
        CPPUNIT_ASSERT(starts.back() == WorkerId("w1") ||
                       starts.back() == WorkerId("w5"));
      }
    });
    aSection.It("renews the tickets of a waiting task", [] {
      FakeCell cell({ .mWorkers = 1 });
      cell.RunFor(200ms);
      cell.Submit("long",
                  { .mPayload = "", .mSteps = { MakeStep(1, 8000, 3000ms) } },
                  MakeQueueWithAdvice());
      cell.RunFor(200ms);
      cell.Submit("next",
                  { .mPayload = "", .mSteps = { MakeStep(1, 8000, 200ms) } },
                  MakeQueueWithAdvice());
      cell.RunFor(3000ms);
      CPPUNIT_ASSERT(cell.StateOf("next") == JobState::Running);
      CPPUNIT_ASSERT(cell.mQueryCount >= 4);
    });
  });
  DescribeWaitingSteps(aRoot);
  aRoot.Describe("a later step", [](Section& aSection) {
    aSection.It("gets its advice query before the earlier step ends", [] {
      FakeCell cell;
      JobSpec spec{ .mPayload = "",
                    .mSteps = { MakeStep(1, 1000, 600ms),
                                MakeStep(1, 1000, 100ms) } };
      spec.mSteps[1].mAfter = { 0 };
      cell.RunFor(200ms);
      cell.Submit("job", spec, MakeQueueWithAdvice());
      cell.RunFor(620ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, cell.mQueryCount);
    });
  });
}

} // namespace oriolevane
