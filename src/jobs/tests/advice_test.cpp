#include "jobs/internal/advicebudget.h"
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

// Plays a task that must start again after all workers that were approved for
// it have been filled by more urgent work. One more worker is free and allowed,
// but was not part of the first query.
bool
RestartsOnWorkerNotAskedAbout()
{
  constexpr int kWorkers = 60;
  constexpr int kFilledWorkers = 30;
  const WorkerId freeWorker("w59");
  FakeCell cell({ .mWorkers = kWorkers });
  cell.mIsAllowed = [&](const StepKey& aStep, const WorkerId& aWorker) {
    const bool filled = std::stoi(aWorker.mValue.substr(1)) < kFilledWorkers;
    return filled || (aStep.mJob.mValue == "restarts" && aWorker == freeWorker);
  };
  cell.mPlan = [](const TaskKey& aTask, RunNumber aRun, const WorkerId&) {
    const bool restarted = aTask.mStep.mJob.mValue == "restarts";
    return RunPlan{ .mDuration = restarted ? 1500ms : 60000ms,
                    .mFails = restarted && aRun == RunNumber(1) };
  };
  cell.RunFor(200ms);
  QueuePolicy queue = MakeQueueWithAdvice();
  queue.mPriority = 1;
  cell.Submit("restarts",
              { .mPayload = "", .mSteps = { MakeStep(1, 8000, 1500ms) } },
              queue);
  cell.RunFor(500ms);
  cell.Submit("fills",
              { .mPayload = "",
                .mSteps = { MakeStep(kFilledWorkers + 1, 8000, 1500ms) } },
              MakeQueueWithAdvice());
  cell.RunFor(8000ms);
  return cell.StateOf("restarts") == JobState::Completed;
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
    aSection.It("ask about further workers while the approved ones are full",
                [] { CPPUNIT_ASSERT(RestartsOnWorkerNotAskedAbout()); });
  });
}

// Whether a gang that needs most of a large cell has more than one query in
// progress at the same time.
bool
SendsParallelQueries(std::size_t aQueryHosts)
{
  constexpr int kWorkers = 240;
  FakeCell cell({ .mWorkers = kWorkers, .mMaxBatchRecords = kWorkers });
  cell.Scheduler().SetQueryHosts(aQueryHosts);
  std::vector<AdviceQuery> queries;
  cell.mOnAdviceQuery = [&queries](const AdviceQuery& aQuery) {
    queries.push_back(aQuery);
  };
  cell.RunFor(200ms);
  StepSpec step = MakeStep(kWorkers, 4000, 3000ms);
  step.mGang = true;
  cell.Submit(
    "gang", { .mPayload = "", .mSteps = { step } }, MakeQueueWithAdvice());
  cell.RunFor(500ms);
  std::set<WorkerId> named;
  for (const AdviceQuery& query : queries) {
    CPPUNIT_ASSERT(query.mWorkers.size() <= 100);
    for (const WorkerId& worker : query.mWorkers) {
      CPPUNIT_ASSERT(named.insert(worker).second);
    }
  }
  return queries.size() > 1;
}

// The number of workers that the first queries of a gang name while other jobs
// have this many queries pending.
std::size_t
WorkersNamedBesides(int aPendingQueries)
{
  constexpr int kWorkers = 100;
  constexpr std::size_t kQueryHosts = 10;
  FakeCell cell({ .mWorkers = kWorkers, .mMaxBatchRecords = kWorkers });
  cell.Scheduler().SetQueryHosts(kQueryHosts);
  std::size_t named = 0;
  cell.mOnAdviceQuery = [&named](const AdviceQuery& aQuery) {
    named += aQuery.mStep.mJob.mValue == "gang" ? aQuery.mWorkers.size() : 0;
  };
  cell.RunFor(200ms);
  for (int job = 0; job < aPendingQueries; ++job) {
    cell.Submit("single" + std::to_string(job),
                { .mPayload = "", .mSteps = { MakeStep(1, 1000, 500ms) } },
                MakeQueueWithAdvice());
  }
  cell.RunFor(200ms);
  StepSpec step = MakeStep(3, 8000, 3000ms);
  step.mGang = true;
  cell.Submit(
    "gang", { .mPayload = "", .mSteps = { step } }, MakeQueueWithAdvice());
  cell.RunFor(200ms);
  return named;
}

// A query that waits to be sent while the workers that it names are filled.
class WaitingQuery
{
public:
  WaitingQuery()
    : mCell({ .mWorkers = kWorkers, .mMaxBatchRecords = kWorkers })
  {
    mCell.mOnAdviceQuery = [this](const AdviceQuery& aQuery) {
      mQuery = aQuery;
    };
    mCell.RunFor(300ms);
    mCell.Submit(
      "waits", SingleStepJob(MakeStep(1, 8000, 1500ms)), MakeQueueWithAdvice());
    mCell.RunFor(200ms);
    mCell.Submit(
      "fills", SingleStepJob(MakeStep(kFilled, 8000, 60000ms)), MakeQueue());
    mCell.RunFor(1000ms);
  }

  std::optional<AdviceQuery> Updated()
  {
    return mCell.Scheduler().UpdatedQuery(mQuery, mCell.NowMoment());
  }
  std::vector<WorkerId> WorkersNow() { return Updated().value().mWorkers; }
  bool HasRoom(const WorkerId& aWorker)
  {
    const int index = std::stoi(aWorker.mValue.substr(1));
    return mCell.WorkerAt(index).Used().mMilliCores == 0;
  }

  static constexpr int kWorkers = 100;
  static constexpr int kFilled = 60;
  FakeCell mCell;
  AdviceQuery mQuery;
};

void
DescribeWaitingQuery(Section& aRoot)
{
  aRoot.Describe("a query that waits to be sent", [](Section& aSection) {
    aSection.It("asks about the workers that have room when it is sent", [] {
      WaitingQuery waiting;
      const std::vector<WorkerId> workers = waiting.WorkersNow();
      CPPUNIT_ASSERT(!workers.empty());
      CPPUNIT_ASSERT(!waiting.HasRoom(waiting.mQuery.mWorkers.front()));
      for (const WorkerId& worker : workers) {
        CPPUNIT_ASSERT(waiting.HasRoom(worker));
      }
    });
    aSection.It("names no worker that has crashed since", [] {
      WaitingQuery waiting;
      const WorkerId crashed = waiting.WorkersNow().front();
      waiting.mCell.CrashWorker(std::stoi(crashed.mValue.substr(1)));
      waiting.mCell.RunFor(8000ms);
      for (const WorkerId& worker : waiting.WorkersNow()) {
        CPPUNIT_ASSERT(worker != crashed);
      }
    });
    aSection.It("is not sent once its job has been cancelled", [] {
      WaitingQuery waiting;
      waiting.mCell.Cancel("waits");
      CPPUNIT_ASSERT(!waiting.Updated().has_value());
    });
  });
}

// The number of waiting steps of a queue whose tickets are renewed while far
// more is pending than the policy service can answer.
int
StepsRenewedInOverload(std::chrono::milliseconds aDecisionTime)
{
  constexpr std::size_t kHosts = 6;
  constexpr int kSteps = 20;
  QueuePolicy queue = MakeQueueWithAdvice();
  queue.mAdvice->mDecisionTime = aDecisionTime;
  AdviceBudget budget;
  budget.BeginPass(kHosts, { .mQueries = 100, .mServiceTime = 60s });
  int renewed = 0;
  for (int step = 0; step < kSteps; ++step) {
    renewed += budget.TakeRenewal(queue, false) ? 1 : 0;
  }
  return renewed;
}

void
DescribeOverload(Section& aRoot)
{
  aRoot.Describe("an overload with long queries", [](Section& aSection) {
    aSection.It("limits renewals that take long",
                [] { CPPUNIT_ASSERT(StepsRenewedInOverload(400ms) < 10); });
    // Guards against short urgent work that loses its tickets to the overload.
    aSection.It("does not limit short ones",
                [] { CPPUNIT_ASSERT_EQUAL(20, StepsRenewedInOverload(20ms)); });
  });
}

// The number of queries about a step in some seconds in which the policy
// service cannot be reached, and in the second after its return.
struct QueriesOfOutage
{
  std::size_t mDuring = 0;
  bool mStartedAfter = false;
};

QueriesOfOutage
PlayPolicyServiceOutage()
{
  constexpr Millis kOutage{ 10000 };
  FakeCell cell;
  bool reachable = false;
  cell.mOnAdviceQuery = [&](const AdviceQuery& aQuery) {
    cell.ScheduleAfter(2ms, [&, aQuery] {
      if (reachable) {
        cell.AnswerQuery(aQuery);
      } else {
        cell.Scheduler().OnAdvice({ .mStep = aQuery.mStep }, cell.NowMoment());
      }
    });
  };
  cell.RunFor(200ms);
  cell.Submit(
    "job", SingleStepJob(MakeStep(1, 1000, 60000ms)), MakeQueueWithAdvice());
  cell.RunFor(kOutage);
  QueriesOfOutage queries{ .mDuring = cell.mQueryCount };
  reachable = true;
  cell.RunFor(1200ms);
  queries.mStartedAfter = !cell.mStarts.empty();
  return queries;
}

void
DescribeUnansweredQueries(Section& aRoot)
{
  aRoot.Describe(
    "a policy service that cannot be reached", [](Section& aSection) {
      aSection.It("is not asked again and again without a pause", [] {
        CPPUNIT_ASSERT(PlayPolicyServiceOutage().mDuring <= 20);
      });
      aSection.It("is asked again soon after its return", [] {
        CPPUNIT_ASSERT(PlayPolicyServiceOutage().mStartedAfter);
      });
    });
}

void
DescribeWideGangs(Section& aRoot)
{
  aRoot.Describe("a gang that needs many workers", [](Section& aSection) {
    aSection.It("is asked about in parallel where many hosts can ask",
                [] { CPPUNIT_ASSERT(SendsParallelQueries(147)); });
    aSection.It("gets more workers to choose from while hosts are free", [] {
      CPPUNIT_ASSERT(WorkersNamedBesides(0) > 2 * WorkersNamedBesides(10));
    });
    aSection.It("has one query at a time where few hosts can ask",
                [] { CPPUNIT_ASSERT(!SendsParallelQueries(7)); });
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
  DescribeWaitingQuery(aRoot);
  DescribeUnansweredQueries(aRoot);
  DescribeOverload(aRoot);
  DescribeWideGangs(aRoot);
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
