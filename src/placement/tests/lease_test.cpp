#include "placement/tests/harness.h"
#include "placement/tests/stories.h"

namespace oriolevane::placement {

using protocol::TaskEndReason;
using protocol::TaskState;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Section;

namespace {

protocol::TaskKey
KeyOf(const std::string& aRequest)
{
  return { .mRequest = RequestId{ aRequest }, .mAttempt = 1 };
}

void
SilentWorker(Section& aSection)
{
  aSection.It("makes its tasks unknown, then lost, and keeps them counted "
              "until then",
              [] {
                Harness harness(1);
                harness.Give(TestOrder("a", 8));
                harness.mMuted[0] = true;
                harness.Pass(seconds{ 9 });
                CPPUNIT_ASSERT(harness.State("a") == TaskState::Unknown);
                CPPUNIT_ASSERT(harness.mPlacer->CheckInvariants());
                harness.Pass(seconds{ 6 });
                CPPUNIT_ASSERT(harness.State("a") == TaskState::Lost);
                CPPUNIT_ASSERT(harness.Reason("a") ==
                               TaskEndReason::WorkerLost);
              });
  aSection.It("that speaks again in time keeps its tasks running", [] {
    Harness harness(1);
    harness.Give(TestOrder("a"));
    harness.mMuted[0] = true;
    harness.Pass(seconds{ 8 });
    harness.mMuted[0] = false;
    harness.Pass(seconds{ 3 });
    CPPUNIT_ASSERT(harness.State("a") == TaskState::Running);
    CPPUNIT_ASSERT_EQUAL(1, harness.Starts("a"));
  });
  aSection.It("gets no new work", [] {
    Harness harness(2);
    harness.mMuted[0] = true;
    harness.Give(WorkerUnreachable{ WorkerId{ "w-0" } });
    harness.Give(TestOrder("a", 8));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 8 }, harness.Worker(1).Running().size());
  });
}

void
OtherWorkers(Section& aSection)
{
  aSection.It("that restarted has lost its tasks", [] {
    Harness harness(1);
    harness.Give(TestOrder("a"));
    harness.Worker(0).Restart();
    harness.Pass(seconds{ 5 });
    CPPUNIT_ASSERT(harness.State("a") == TaskState::Lost);
  });
  aSection.It("that says it is leaving gets no new work but keeps its own", [] {
    Harness harness(1);
    harness.Give(TestOrder("a"));
    harness.Worker(0).Leave();
    harness.Give(harness.Worker(0).Report());
    harness.Give(TestOrder("b"));
    CPPUNIT_ASSERT(harness.State("a") == TaskState::Running);
    CPPUNIT_ASSERT_EQUAL(0, harness.Starts("b"));
  });
  aSection.It("that an operator drains gets no new work", [] {
    Harness harness(1);
    policy::CellPolicy policy;
    policy.mDrainedWorkers.insert(WorkerId{ "w-0" });
    harness.SetPolicy(policy);
    harness.Give(TestOrder("a"));
    CPPUNIT_ASSERT_EQUAL(0, harness.Starts("a"));
  });
  aSection.It("that left the list keeps its tasks counted until they end", [] {
    Harness harness(1);
    harness.mRunTime = seconds{ 4 };
    harness.Give(TestOrder("a"));
    harness.Give(WorkersListed{});
    harness.Give(TestOrder("b"));
    CPPUNIT_ASSERT_EQUAL(0, harness.Starts("b"));
    harness.Pass(seconds{ 5 });
    CPPUNIT_ASSERT(harness.State("a") == TaskState::Succeeded);
  });
}

void
FinalUpdates(Section& aSection)
{
  aSection.It("are repeated until acknowledged, then the worker forgets", [] {
    Harness harness(1);
    harness.mRunTime = seconds{ 1 };
    harness.Give(TestOrder("a"));
    harness.Pass(seconds{ 2 });
    harness.mUpdates.clear();
    harness.Pass(seconds{ 3 });
    CPPUNIT_ASSERT(harness.mUpdates.size() >= 2);
    CPPUNIT_ASSERT_EQUAL(std::string{ "answer of a" },
                         harness.Update("a")->mAnswer);
    harness.Acknowledge(KeyOf("a"));
    CPPUNIT_ASSERT(harness.Worker(0).Report().mEnded.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, harness.mPlacer->AttemptCount());
  });
  aSection.It("are not undone by a late copy of the request", [] {
    Harness harness(1);
    harness.mRunTime = seconds{ 1 };
    harness.Give(TestOrder("a"));
    harness.Pass(seconds{ 2 });
    harness.Acknowledge(KeyOf("a"));
    harness.Give(TestOrder("a"));
    CPPUNIT_ASSERT_EQUAL(1, harness.Starts("a"));
  });
}

void
Takeover(Section& aSection)
{
  const auto take = [](Harness& aHarness, std::size_t aWorkers) {
    PlacerOptions options = TestOptions();
    options.mEpoch = Epoch{ 2 };
    aHarness.mPlacer = std::make_unique<Placer>(options);
    WorkersListed list;
    for (std::size_t number = 0; number < aWorkers; ++number) {
      list.mWorkers.push_back(aHarness.Worker(number).Info());
    }
    aHarness.Give(list);
  };
  aSection.It("counts and reports what the workers hold, and renews it",
              [take] {
                Harness harness(2);
                harness.Give(TestOrder("a", 3));
                harness.mUpdates.clear();
                take(harness, 2);
                CPPUNIT_ASSERT(harness.State("a", 2) == TaskState::Running);
                harness.Pass(seconds{ 30 });
                CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, harness.RunningCount());
                CPPUNIT_ASSERT_EQUAL(3, harness.Starts("a"));
              });
  aSection.It("answers a query completely only once all workers are fenced or "
              "have lapsed",
              [take] {
                Harness harness(2);
                harness.mMuted[1] = true;
                take(harness, 2);
                harness.Give(
                  protocol::ReconcileQuery{ .mRoute = TestOrder("").mRoute });
                CPPUNIT_ASSERT(!harness.mAnswers.back().mComplete);
                harness.Pass(seconds{ 16 });
                CPPUNIT_ASSERT(harness.mAnswers.back().mComplete);
              });
  aSection.It("never starts an attempt that its predecessor may have started",
              [take] {
                Harness harness(2);
                harness.mMuted[1] = true;
                take(harness, 2);
                harness.Give(TestOrder("a"));
                harness.Pass(seconds{ 16 });
                CPPUNIT_ASSERT_EQUAL(0, harness.Starts("a"));
                CPPUNIT_ASSERT(harness.State("a") == TaskState::Lost);
              });
  aSection.It(
    "stops a task whose cancellation came before its inventory", [take] {
      Harness harness(1);
      harness.Give(TestOrder("a"));
      harness.mMuted[0] = true;
      take(harness, 1);
      harness.Give(protocol::CancelTasks{ .mRoute = TestOrder("").mRoute,
                                          .mShardEpoch = Epoch{ 1 },
                                          .mTasks = { KeyOf("a") } });
      harness.mMuted[0] = false;
      harness.Pass(seconds{ 5 });
      CPPUNIT_ASSERT(harness.State("a") == TaskState::Lost);
      CPPUNIT_ASSERT(harness.Reason("a") == TaskEndReason::Cancelled);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, harness.RunningCount());
    });
}

} // namespace

void
LeaseStory(Section& aStory)
{
  aStory.Describe("a silent worker", SilentWorker);
  aStory.Describe("a worker", OtherWorkers);
  aStory.Describe("final updates", FinalUpdates);
  aStory.Describe("a takeover", Takeover);
}

} // namespace oriolevane::placement
