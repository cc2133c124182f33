#include <functional>
#include <numeric>
#include <vector>

#include "framework/log.h"
#include "framework/testing/testgroup.h"
#include "jobs/tests/fakecell.h"

namespace oriolevane {

using testing::Section;
using namespace jobs;
using namespace std::chrono_literals;

namespace {

// Steps of one short task each. Step N comes after those that aAfter names.
JobSpec
JobWithSteps(int aSteps, const std::function<std::vector<int>(int)>& aAfter)
{
  JobSpec spec{ .mPayload = "payload" };
  for (int step = 0; step < aSteps; ++step) {
    spec.mSteps.push_back(MakeStep(1, 1000, 10ms));
    spec.mSteps.back().mAfter = aAfter(step);
  }
  return spec;
}

std::vector<int>
AllBefore(int aStep)
{
  std::vector<int> steps(aStep);
  std::iota(steps.begin(), steps.end(), 0);
  return steps;
}

// Layers of two steps, each after both steps of the layer before.
std::vector<int>
BothOfLayerBefore(int aStep)
{
  const int layer = aStep / 2;
  return layer == 0 ? std::vector<int>()
                    : std::vector<int>{ 2 * layer - 2, 2 * layer - 1 };
}

void
CompletesInOrder(const JobSpec& aSpec)
{
  FakeCell cell;
  cell.RunFor(200ms);
  cell.Submit("job", aSpec, MakeQueue());
  cell.RunUntilFinal("job", 60000ms);
  CPPUNIT_ASSERT(cell.StateOf("job") == JobState::Completed);
  CPPUNIT_ASSERT(cell.mViolations.empty());
}

// Guards against review/11: the critical path took twice the time for each
// further step, on the event loop of one owner after the other.
void
DependencyTests(Section& aRoot)
{
  aRoot.Describe("a job with many dependencies", [](Section& aSection) {
    aSection.It("completes if each step names all earlier ones",
                [] { CompletesInOrder(JobWithSteps(200, AllBefore)); });
    aSection.It("completes if no step names more than two",
                [] { CompletesInOrder(JobWithSteps(80, BothOfLayerBefore)); });
    aSection.It("completes if a step names another one many times", [] {
      CompletesInOrder(JobWithSteps(2, [](int aStep) {
        return std::vector<int>(aStep == 0 ? 0 : 15000, 0);
      }));
    });
    aSection.It("does not stop the next owner, or one that reads policies", [] {
      FakeCell cell;
      cell.RunFor(200ms);
      cell.Submit("job", JobWithSteps(100, AllBefore), MakeQueue());
      cell.RunFor(500ms);
      QueuePolicy queue = MakeQueue();
      queue.mStretch = 5;
      cell.SetQueuesOfLaterOwners({ queue });
      cell.ConfigureOwner();
      cell.TakeOver();
      cell.RunUntilFinal("job", 60000ms);
      CPPUNIT_ASSERT(cell.StateOf("job") == JobState::Completed);
      CPPUNIT_ASSERT(cell.mViolations.empty());
    });
  });
}

} // namespace

} // namespace oriolevane

int
main(int aCount, char** aArguments)
{
  oriolevane::SetLogLevel(oriolevane::LogLevel::Error);
  return oriolevane::testing::RunTests(
    aCount, aArguments, { { "dependencies", oriolevane::DependencyTests } });
}
