#include "jobs/recordwritequeue.h"
#include "jobs/tests/fakecell.h"
#include "jobs/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace jobs;
using namespace std::chrono_literals;

namespace {

RecordKey
Key(const std::string& aName)
{
  return { .mKind = RecordKind::Job, .mName = aName };
}

void
DescribeReplacementAndRemoval(Section& aRoot)
{
  aRoot.Describe("a record that replaces another one", [](Section& aSection) {
    aSection.It("takes its position, so its changes stay unconfirmed", [] {
      RecordWriteQueue log;
      const RecordPosition replaced = log.Mark(Key("progress"));
      log.Mark(Key("other"));
      log.MarkInsteadOf(Key("final"), Key("progress"));
      const std::vector<RecordKey> first = log.TakeBatch(1);
      CPPUNIT_ASSERT(first == std::vector<RecordKey>{ Key("final") });
      CPPUNIT_ASSERT(log.Confirm() >= replaced);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, log.Waiting());
    });
    aSection.It("is appended if the other one is not waiting", [] {
      RecordWriteQueue log;
      log.Mark(Key("progress"));
      log.TakeBatch(1);
      log.Confirm();
      const RecordPosition last =
        log.MarkInsteadOf(Key("final"), Key("progress"));
      CPPUNIT_ASSERT(log.Recorded() < last);
      log.TakeBatch(1);
      CPPUNIT_ASSERT(log.Confirm() == last);
    });
  });
  aRoot.Describe("removals", [](Section& aSection) {
    aSection.It("are written after all waiting records", [] {
      RecordWriteQueue log;
      log.NoteWritten(Key("old"));
      log.Remove(Key("old"));
      log.Mark(Key("new"));
      CPPUNIT_ASSERT(log.TakeBatch(1) == std::vector<RecordKey>{ Key("new") });
      CPPUNIT_ASSERT(log.TakeBatch(1) == std::vector<RecordKey>{ Key("old") });
      CPPUNIT_ASSERT(!log.HasWaiting());
    });
    aSection.It("are skipped for records that were never written", [] {
      RecordWriteQueue log;
      log.Remove(Key("never"));
      CPPUNIT_ASSERT(!log.HasWaiting());
    });
    aSection.It("are dropped when the record is marked again", [] {
      RecordWriteQueue log;
      log.NoteWritten(Key("again"));
      log.Remove(Key("again"));
      log.Mark(Key("again"));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, log.TakeBatch(10).size());
    });
  });
}

void
DescribeWithdrawnJob(Section& aRoot)
{
  aRoot.Describe(
    "a job that is withdrawn and submitted again", [](Section& aSection) {
      aSection.It("starts only after its second submission is recorded", [] {
        CellScheduler scheduler({ .mEpoch = Epoch(1) },
                                { .mStart = [](const StartOrder&) {},
                                  .mStop = [](const StopOrder&) {},
                                  .mPoll = [](const PollOrder&) {},
                                  .mAskAdvice = [](const AdviceQuery&) {},
                                  .mOnFenced = [](const WorkerId&) {} });
        const Moment now{ .mSteady = TimePoint(1000s), .mUnix = 1000s };
        const QueuePolicy queue = MakeQueue();
        const JobSpec spec{ .mPayload = "",
                            .mSteps = { MakeStep(1, 1000, 100ms) } };
        const auto writeBatch = [&] {
          scheduler.Records().TakeBatch(10);
          scheduler.OnRecorded(scheduler.Records().Confirm(), now);
          scheduler.Advance(now);
        };
        const auto submit = [&](const char* aId) {
          scheduler.Submit(
            { .mId = JobId(aId), .mQueue = queue, .mSpec = spec, .mTeam = {} },
            now);
        };
        submit("again");
        submit("other");
        CPPUNIT_ASSERT(scheduler.Withdraw(JobId("again")));
        scheduler.Records().TakeBatch(10);
        submit("again");
        scheduler.OnRecorded(scheduler.Records().Confirm(), now);
        scheduler.Advance(now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, scheduler.Waiting(queue.mName));
        writeBatch();
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, scheduler.Waiting(queue.mName));
      });
    });
}

} // namespace

void
RecordWriteQueueTests(Section& aRoot)
{
  aRoot.Describe("records that change while waiting", [](Section& aSection) {
    aSection.It("are written once, which covers all their changes", [] {
      RecordWriteQueue log;
      log.Mark(Key("a"));
      log.Mark(Key("b"));
      const RecordPosition last = log.Mark(Key("a"));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, log.TakeBatch(10).size());
      CPPUNIT_ASSERT(log.Confirm() == last);
    });
    aSection.It("are confirmed only up to the first waiting change", [] {
      RecordWriteQueue log;
      const RecordPosition first = log.Mark(Key("a"));
      log.Mark(Key("b"));
      log.Mark(Key("a"));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, log.TakeBatch(1).size());
      CPPUNIT_ASSERT(log.Confirm() == first);
    });
    aSection.It("are written again if they change during a write", [] {
      RecordWriteQueue log;
      log.Mark(Key("a"));
      log.TakeBatch(1);
      const RecordPosition second = log.Mark(Key("a"));
      CPPUNIT_ASSERT(log.Confirm() < second);
      CPPUNIT_ASSERT(log.HasWaiting());
    });
  });
  DescribeReplacementAndRemoval(aRoot);
  DescribeWithdrawnJob(aRoot);
  aRoot.Describe(
    "a job that ends while the store is unavailable", [](Section& aSection) {
      aSection.It("keeps its progress until its final state is recorded", [] {
        FakeCell cell;
        cell.RunFor(200ms);
        cell.Submit("job",
                    { .mPayload = "", .mSteps = { MakeStep(2, 1000, 100ms) } },
                    MakeQueue());
        cell.RunFor(60ms);
        cell.SetStoreUnavailable(true);
        // Long enough for the scheduler to drop state that it no longer needs.
        cell.RunFor(2000ms);
        RecordWriteQueue& log = cell.Scheduler().Records();
        for (const RecordKey& key : log.TakeBatch(100)) {
          const RecordValue value = cell.Scheduler().ValueOf(key);
          CPPUNIT_ASSERT(key.mKind == RecordKind::Worker ||
                         !std::holds_alternative<std::monostate>(value));
        }
      });
    });
}

} // namespace oriolevane
