#include "cellnode/internal/relayedcalls.h"

#include <memory>
#include <string>
#include <vector>

#include "cellnode/internal/relayserver.h"
#include "cellnode/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;
using namespace std::chrono_literals;

namespace {

const NodeId kRelay("relay");
const NodeId kOwner("owner");

// An owner and one relay, joined by frames as they go over the link. The worker
// answers when the test says so.
struct Fixture
{
  struct WorkerStart
  {
    jobs::StartOrder mOrder;
    Duration mTimeout;
    std::function<void(const jobs::OrderAnswer&)> mReply;
  };

  TimePoint mNow{ 1000s };
  bool mLinkWorks = true;
  int mDirectStarts = 0;
  std::vector<cellwire::WorkerCallBatchT> mBatches;
  std::vector<WorkerStart> mWorkerStarts;
  std::vector<jobs::PollOrder> mWorkerPolls;
  std::function<void(const jobs::PollAnswer&)> mPollReply;
  std::unique_ptr<RelayServer> mServer;
  RelayedCalls mCalls;
  UpstreamHooks mHooks;

  explicit Fixture(Epoch aEpoch = Epoch(3))
    : mCalls(aEpoch, { .mOwnerFitness = 0.0 }, MakeOwnerHooks())
    , mHooks(mCalls.MakeHooks())
  {
    StartServer();
    mCalls.AddNode({ .mNode = kRelay, .mZone = {}, .mFitness = 1.0 });
    mCalls.SetWorkerCount(10);
  }
  // Also stands for a restart of the relay's process.
  void StartServer()
  {
    mServer = std::make_unique<RelayServer>(RelayServerHooks{
      .mUpstreams = { .mStart =
                        [this](const jobs::StartOrder& aOrder,
                               Duration aTimeout,
                               auto aDone) {
                          mWorkerStarts.push_back({ aOrder, aTimeout, aDone });
                        },
                      .mStop = {},
                      .mPoll =
                        [this](
                          const jobs::PollOrder& aOrder, Duration, auto aDone) {
                          mWorkerPolls.push_back(aOrder);
                          mPollReply = aDone;
                        },
                      .mAdvise = {} },
      .mSend =
        [this](const NodeId&, const cellwire::WorkerAnswerBatchT& aBatch) {
          if (mLinkWorks) {
            mCalls.OnAnswers(aBatch);
          }
        },
      .mRequestFlush = [] {} });
  }
  RelayedCallsHooks MakeOwnerHooks()
  {
    return { .mDirect = { .mStart = [this](const jobs::StartOrder&,
                                           Duration,
                                           const auto&) { ++mDirectStarts; },
                          .mStop = {},
                          .mPoll = {},
                          .mAdvise = {} },
             .mSend =
               [this](const NodeId&, const cellwire::WorkerCallBatchT& aBatch) {
                 mBatches.push_back(aBatch);
                 if (mLinkWorks) {
                   mServer->OnCalls(kOwner, aBatch);
                 }
               },
             .mRequestFlush = [] {},
             .mNow = [this] { return mNow; } };
  }
  // Sends a start and returns where its answer is stored.
  std::shared_ptr<std::optional<jobs::OrderAnswer>> Start(
    const std::string& aJob,
    int aIndex = 0)
  {
    auto answer = std::make_shared<std::optional<jobs::OrderAnswer>>();
    mHooks.mStart(
      { .mWorker = { .mId = WorkerId("w"),
                     .mAddress = "127.0.0.1:1",
                     .mZone = {} },
        .mToken = jobs::FencingToken(7),
        .mTask = { .mStep = { .mJob = jobs::JobId(aJob) }, .mIndex = aIndex },
        .mRun = jobs::RunNumber(2),
        .mPayload = "payload of " + aJob,
        .mCheckpoint = "saved",
        .mTicket = "ticket",
        .mLeaseEnd = 4000ms },
      200ms,
      [answer](const jobs::OrderAnswer& aAnswer) { *answer = aAnswer; });
    return answer;
  }
};

void
DescribeOrders(Section& aRoot)
{
  aRoot.Describe("a start order", [](Section& aSection) {
    aSection.It("reaches the worker unchanged, and its answer the owner", [] {
      Fixture fixture;
      const auto answer = fixture.Start("job", 5);
      fixture.mCalls.Flush();
      const jobs::StartOrder& order = fixture.mWorkerStarts.at(0).mOrder;
      CPPUNIT_ASSERT(order.mTask.mIndex == 5);
      CPPUNIT_ASSERT(order.mToken == jobs::FencingToken(7));
      CPPUNIT_ASSERT(order.mRun == jobs::RunNumber(2));
      CPPUNIT_ASSERT(order.mLeaseEnd == 4000ms);
      CPPUNIT_ASSERT_EQUAL(std::string("payload of job"), order.mPayload);
      CPPUNIT_ASSERT_EQUAL(std::string("saved"), order.mCheckpoint);
      CPPUNIT_ASSERT_EQUAL(std::string("ticket"), order.mTicket);
      CPPUNIT_ASSERT(fixture.mWorkerStarts[0].mTimeout == 200ms);
      fixture.mWorkerStarts[0].mReply(
        { .mResult = jobs::OrderResult::NoRoom, .mNow = 99ms });
      fixture.mServer->Flush();
      CPPUNIT_ASSERT(answer->value().mResult == jobs::OrderResult::NoRoom);
      CPPUNIT_ASSERT(answer->value().mNow == jobs::WorkerTime(99));
    });
    aSection.It("carries the payload once for all tasks of a job", [] {
      Fixture fixture;
      fixture.Start("job", 0);
      fixture.Start("job", 1);
      fixture.mCalls.Flush();
      fixture.Start("job", 2);
      fixture.mCalls.Flush();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                           fixture.mBatches[0].payloads.size());
      CPPUNIT_ASSERT(fixture.mBatches[1].payloads.empty());
      CPPUNIT_ASSERT_EQUAL(std::string("payload of job"),
                           fixture.mWorkerStarts.at(2).mOrder.mPayload);
    });
    aSection.It(
      "is not sent to the worker when the relay lost the payload", [] {
        Fixture fixture;
        fixture.Start("job", 0);
        fixture.mCalls.Flush();
        fixture.StartServer();
        const auto answer = fixture.Start("job", 1);
        fixture.mCalls.Flush();
        fixture.mServer->Flush();
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mWorkerStarts.size());
        CPPUNIT_ASSERT(answer->value().mResult == jobs::OrderResult::Unknown);
        fixture.Start("job", 1);
        fixture.mCalls.Flush();
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.mWorkerStarts.size());
      });
  });
}

void
DescribeReports(Section& aRoot)
{
  aRoot.Describe("a worker's report", [](Section& aSection) {
    aSection.It("reaches the owner unchanged", [] {
      Fixture fixture;
      std::optional<jobs::PollAnswer> answer;
      fixture.mHooks.mPoll(
        { .mWorker = {},
          .mToken = jobs::FencingToken(7),
          .mSerial = 4,
          .mLeaseEnd = {},
          .mConfirmedEndSerial = 11,
          .mWait = 500ms },
        700ms,
        [&answer](const jobs::PollAnswer& aAnswer) { answer = aAnswer; });
      fixture.mCalls.Flush();
      const jobs::PollOrder& order = fixture.mWorkerPolls.at(0);
      CPPUNIT_ASSERT(!order.mLeaseEnd.has_value());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 11 }, order.mConfirmedEndSerial);
      CPPUNIT_ASSERT(order.mWait == 500ms);
      const jobs::TaskKey task{
        .mStep = { .mJob = jobs::JobId("job"), .mOccurrence = 1, .mStep = 2 },
        .mIndex = 3
      };
      fixture.mPollReply(
        { .mResult = jobs::OrderResult::Done,
          .mReport = { .mNow = 123ms,
                       .mIncarnation = jobs::WorkerIncarnation(77),
                       .mRunning = { { .mTask = task,
                                       .mRun = jobs::RunNumber(5),
                                       .mCheckpoint = "saved",
                                       .mPercent = 40 } },
                       .mEnded = { { .mSerial = 12,
                                     .mTask = task,
                                     .mRun = jobs::RunNumber(4),
                                     .mKind = jobs::EndKind::GangBroken,
                                     .mCheckpoint = "" } },
                       .mEndsTruncated = true } });
      fixture.mServer->Flush();
      const jobs::WorkerReport& report = answer.value().mReport;
      CPPUNIT_ASSERT(report.mNow == 123ms);
      CPPUNIT_ASSERT(report.mIncarnation == jobs::WorkerIncarnation(77));
      CPPUNIT_ASSERT(report.mRunning.at(0).mTask == task);
      CPPUNIT_ASSERT_EQUAL(40, report.mRunning[0].mPercent);
      CPPUNIT_ASSERT(report.mEnded.at(0).mKind == jobs::EndKind::GangBroken);
      CPPUNIT_ASSERT(report.mEndsTruncated);
    });
  });
}

void
DescribeFaults(Section& aRoot)
{
  aRoot.Describe(
    "when something between owner and worker fails", [](Section& aSection) {
      aSection.It("a call ends without an answer when the relay is silent", [] {
        Fixture fixture;
        fixture.mLinkWorks = false;
        const auto answer = fixture.Start("job");
        fixture.mCalls.Flush();
        fixture.mNow += 200ms;
        fixture.mCalls.Expire(fixture.mNow);
        CPPUNIT_ASSERT(!answer->has_value());
        fixture.mNow += 200ms;
        fixture.mCalls.Expire(fixture.mNow);
        CPPUNIT_ASSERT(answer->value().mResult == jobs::OrderResult::Unknown);
      });
      aSection.It("a call ends at once when the link to the relay closes", [] {
        Fixture fixture;
        const auto answer = fixture.Start("job");
        fixture.mCalls.Flush();
        fixture.mCalls.RemoveNode(kRelay);
        CPPUNIT_ASSERT(answer->value().mResult == jobs::OrderResult::Unknown);
        fixture.Start("job");
        CPPUNIT_ASSERT_EQUAL(1, fixture.mDirectStarts);
      });
      aSection.It("a relay that is about to stop finishes its calls", [] {
        Fixture fixture;
        const auto answer = fixture.Start("job");
        fixture.mCalls.Flush();
        fixture.mCalls.RetireNode(kRelay);
        CPPUNIT_ASSERT(!answer->has_value());
        fixture.mWorkerStarts.at(0).mReply(
          { .mResult = jobs::OrderResult::Done });
        fixture.mServer->Flush();
        CPPUNIT_ASSERT(answer->value().mResult == jobs::OrderResult::Done);
      });
      aSection.It("late answers to calls of an earlier epoch are ignored", [] {
        Fixture earlier(Epoch(3));
        earlier.Start("job");
        earlier.mCalls.Flush();
        Fixture later(Epoch(5));
        const auto answer = later.Start("job");
        cellwire::WorkerAnswerBatchT stale;
        stale.orders.push_back(std::make_unique<cellwire::OrderReplyT>());
        stale.orders[0]->id = earlier.mBatches.at(0).starts.at(0)->id;
        later.mCalls.OnAnswers(stale);
        CPPUNIT_ASSERT(!answer->has_value());
      });
    });
}

} // namespace

void
RelayedCallsTests(Section& aRoot)
{
  DescribeOrders(aRoot);
  DescribeReports(aRoot);
  DescribeFaults(aRoot);
}

} // namespace oriolevane
