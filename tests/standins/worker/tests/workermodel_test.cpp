#include "standins/worker/workermodel.h"

#include <random>

#include "standins/worker/tests/stories.h"
#include "workers/types/workerjsonlimits.h"

namespace oriolevane::standins {

using protocol::StartOrder;
using protocol::TaskKey;
using protocol::WorkerCommand;
using protocol::WorkerReport;
using std::chrono::milliseconds;
using testing::Section;

namespace {

constexpr const char* kLongTask = R"({"runMs": 60000})";
constexpr milliseconds kLease{ 1000 };

TaskKey
Key(std::uint32_t aIndex, std::uint32_t aAttempt = 1)
{
  return { .mRequest = RequestId("r"), .mIndex = aIndex, .mAttempt = aAttempt };
}

// A placer of one worker, as far as the model's tests need it.
struct Bench
{
  std::vector<TaskEvent> mEvents;
  TimePoint mNow{ std::chrono::hours(5) };
  WorkerModel mModel{ { .mWorker = WorkerId("w0"),
                        .mCapacity = { .mMilliCores = 2000, .mSlots = 2 },
                        .mIncarnation = Incarnation(7),
                        .mClockOffset = milliseconds(12345),
                        .mOnEvent = [this](const TaskEvent& aEvent) {
                          mEvents.push_back(aEvent);
                        } } };
  WorkerReport mLast = mModel.Report(mNow);
  Epoch mEpoch{ 3 };
  std::uint64_t mSequence = 0;

  WorkerCommand Command(std::vector<protocol::WorkerOrder> aOrders = {})
  {
    return { .mWorker = WorkerId("w0"),
             .mShard = ShardId(1),
             .mEpoch = mEpoch,
             .mSequence = ++mSequence,
             .mIncarnation = mLast.mIncarnation,
             .mLeaseAnchor = mLast.mClock,
             .mLeaseFor = kLease,
             .mOrders = std::move(aOrders) };
  }
  WorkerReport Send(const WorkerCommand& aCommand)
  {
    mLast = mModel.Handle(aCommand, mNow);
    return mLast;
  }
  WorkerReport Start(std::uint32_t aIndex, const char* aPayload = kLongTask)
  {
    return Send(Command({ Order(aIndex, aPayload) }));
  }
  static StartOrder Order(std::uint32_t aIndex,
                          const char* aPayload = kLongTask)
  {
    return { .mTask = Key(aIndex),
             .mPartition = PartitionId(4),
             .mResources = { .mMilliCores = 1000, .mSlots = 1 },
             .mPayload = aPayload };
  }
  std::size_t Count(TaskEventKind aKind) const
  {
    std::size_t count = 0;
    for (const TaskEvent& event : mEvents) {
      count += event.mKind == aKind ? 1 : 0;
    }
    return count;
  }
};

void
Tasks(Section& aSection)
{
  aSection.It("run for their time, and are kept until forgotten", [] {
    Bench bench;
    bench.Start(0, R"({"runMs": 200, "answer": "done"})");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, bench.mLast.mRunning.size());
    bench.mNow += milliseconds(200);
    for (int round = 0; round < 2; ++round) {
      bench.Send(bench.Command());
      CPPUNIT_ASSERT(bench.mLast.mRunning.empty());
      CPPUNIT_ASSERT(bench.mLast.mEnded.at(0).mSucceeded);
      CPPUNIT_ASSERT_EQUAL(std::string("done"), bench.mLast.mEnded[0].mAnswer);
    }
    bench.Send(bench.Command({ protocol::ForgetOrder{ .mTask = Key(0) } }));
    CPPUNIT_ASSERT(bench.mLast.mEnded.empty());
  });
  aSection.It("echo a payload that is not a script", [] {
    Bench bench;
    bench.Start(0, "\x01\x02");
    bench.mNow += milliseconds(100);
    bench.Send(bench.Command());
    CPPUNIT_ASSERT_EQUAL(std::string("\x01\x02"),
                         bench.mLast.mEnded.at(0).mAnswer);
  });
  aSection.It("are stopped by order", [] {
    Bench bench;
    bench.Start(0);
    bench.Send(bench.Command({ protocol::StopOrder{ .mTask = Key(0) } }));
    CPPUNIT_ASSERT(bench.mLast.mEnded.at(0).mStopped);
  });
  aSection.It("that overcommit the worker are recorded", [] {
    Bench bench;
    bench.Start(0);
    bench.Start(1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, bench.mModel.Overcommits());
    bench.Start(2);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, bench.mModel.Overcommits());
    CPPUNIT_ASSERT(bench.mEvents.back().mOvercommit);
  });
  aSection.It("with more answers than a report holds come one by one", [] {
    Bench bench;
    constexpr std::uint32_t kTasks = 5;
    for (std::uint32_t i = 0; i < kTasks; ++i) {
      bench.Start(i, R"({"runMs": 1, "answerBytes": 1048576})");
    }
    bench.mNow += milliseconds(1);
    for (std::uint32_t left = kTasks; left > 0; --left) {
      bench.Send(bench.Command());
      CPPUNIT_ASSERT_EQUAL(std::size_t{ left },
                           bench.mLast.mEnded.size() +
                             bench.mLast.mRunning.size());
      const protocol::EndedTask& first = bench.mLast.mEnded.at(0);
      CPPUNIT_ASSERT_EQUAL(workers::kMaxAnswerBytes, first.mAnswer.size());
      bench.Send(
        bench.Command({ protocol::ForgetOrder{ .mTask = first.mTask } }));
    }
  });
}

void
Commands(Section& aSection)
{
  aSection.It("of a lower epoch are fenced", [] {
    Bench bench;
    bench.Send(bench.Command());
    WorkerCommand late = bench.Command({ Bench::Order(0) });
    late.mEpoch = Epoch(2);
    late.mSequence = 100;
    bench.Send(late);
    CPPUNIT_ASSERT(bench.mLast.mFenced);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3 }, bench.mLast.mHighestEpoch.mValue);
    CPPUNIT_ASSERT(bench.mLast.mRunning.empty());
  });
  aSection.It("start sequences anew with each epoch", [] {
    Bench bench;
    bench.mSequence = 50;
    bench.Send(bench.Command());
    bench.mEpoch = Epoch(4);
    bench.mSequence = 0;
    bench.Start(0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, bench.mLast.mRunning.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, bench.mLast.mCommandSequence);
  });
  aSection.It("that come twice or late change nothing", [] {
    Bench bench;
    const WorkerCommand start = bench.Command({ Bench::Order(0, "x") });
    bench.Send(start);
    bench.mNow += milliseconds(100);
    bench.Send(bench.Command({ protocol::ForgetOrder{ .mTask = Key(0) } }));
    CPPUNIT_ASSERT(bench.mLast.mEnded.empty());
    bench.Send(start);
    CPPUNIT_ASSERT(bench.mLast.mRunning.empty());
    CPPUNIT_ASSERT(!bench.mLast.mFenced);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, bench.Count(TaskEventKind::Started));
  });
  aSection.It("for the incarnation before a restart change nothing", [] {
    Bench bench;
    const WorkerCommand start = bench.Command({ Bench::Order(0) });
    bench.Send(start);
    bench.mModel.Restart(Incarnation(8), bench.mNow);
    bench.Send(start);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 8 }, bench.mLast.mIncarnation.mValue);
    CPPUNIT_ASSERT(bench.mLast.mRunning.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, bench.Count(TaskEventKind::Lost));
  });
  aSection.It("in any order, doubled, start each attempt at most once", [] {
    std::mt19937_64 random(11);
    for (int round = 0; round < 200; ++round) {
      Bench bench;
      std::vector<WorkerCommand> commands;
      for (std::uint32_t i = 0; i < 10; ++i) {
        commands.push_back(bench.Command(
          { Bench::Order(i % 3, "x"),
            protocol::ForgetOrder{ .mTask = Key((i + 1) % 3) } }));
      }
      for (int step = 0; step < 40; ++step) {
        bench.Send(commands[random() % commands.size()]);
        bench.mNow += milliseconds(random() % 3);
      }
      CPPUNIT_ASSERT(bench.Count(TaskEventKind::Started) <= 3);
    }
  });
}

void
Leases(Section& aSection)
{
  aSection.It("stop tasks when they lapse", [] {
    Bench bench;
    bench.Start(0);
    bench.mNow += kLease;
    bench.Send(bench.Command());
    CPPUNIT_ASSERT(bench.mLast.mEnded.at(0).mStopped);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         bench.Count(TaskEventKind::LeaseLapsed));
  });
  aSection.It("grant no more time when the command was delayed", [] {
    Bench bench;
    bench.Start(0);
    const TimePoint reported = bench.mNow;
    const WorkerCommand renewal = bench.Command();
    bench.mNow = reported + kLease - milliseconds(1);
    bench.Send(renewal);
    bench.mNow = reported + kLease;
    bench.mModel.Advance(bench.mNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, bench.mModel.RunningCount());
    CPPUNIT_ASSERT(bench.mEvents.back().mTime == reported + kLease);
  });
  aSection.It("that lapsed on the way refuse the start", [] {
    Bench bench;
    const WorkerCommand start = bench.Command({ Bench::Order(0) });
    bench.mNow += kLease;
    bench.Send(start);
    CPPUNIT_ASSERT(!bench.mLast.mEnded.at(0).mStarted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, bench.Count(TaskEventKind::Started));
  });
  aSection.It("anchored on a clock that is not the worker's are refused", [] {
    Bench bench;
    WorkerCommand start = bench.Command({ Bench::Order(0) });
    start.mLeaseAnchor += milliseconds(1);
    bench.Send(start);
    CPPUNIT_ASSERT(bench.mLast.mRunning.empty());
  });
  aSection.It("lapse also while the worker is frozen", [] {
    Bench bench;
    bench.Start(0, R"({"runMs": 10})");
    bench.mModel.SetBehaviour({ .mFrozen = true }, bench.mNow);
    bench.mNow += milliseconds(10);
    bench.mModel.Advance(bench.mNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, bench.mModel.RunningCount());
    bench.mNow += kLease;
    bench.mModel.SetBehaviour({}, bench.mNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         bench.Count(TaskEventKind::LeaseLapsed));
  });
}

} // namespace

void
WorkerModelStory(Section& aStory)
{
  aStory.Describe("tasks", Tasks);
  aStory.Describe("commands", Commands);
  aStory.Describe("leases", Leases);
}

} // namespace oriolevane::standins
