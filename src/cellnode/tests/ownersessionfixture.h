// A session of an owner on an event loop, with a store and a worker whose
// answers the test controls.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <cppunit/TestAssert.h>

#include "cellnode/internal/ownersession.h"
#include "cellnode/recordcodec.h"
#include "framework/steadynow.h"

namespace oriolevane::cellnode {

inline jobs::QueuePolicy
RecordedQueue()
{
  jobs::QueuePolicy queue;
  queue.mName = jobs::QueueName("queue");
  queue.mPool = jobs::PoolName("pool");
  queue.mMaxAttempts = 3;
  return queue;
}

inline std::string
EncodedJob(const std::string& aId, const jobs::QueuePolicy& aQueue)
{
  jobs::JobRecord job;
  job.mId = jobs::JobId(aId);
  job.mQueue = aQueue;
  jobs::StepSpec step;
  step.mTaskCount = 1;
  step.mResources = { .mMilliCores = 1000, .mMemoryMiB = 100 };
  step.mEstimate = std::chrono::milliseconds(1000);
  job.mSpec = { .mPayload = "payload", .mSteps = { step } };
  return Encode(job);
}

inline jobs::WorkerEntry
RegisteredWorker()
{
  jobs::WorkerEntry entry;
  entry.mId = WorkerId("w");
  entry.mIncarnation = jobs::WorkerIncarnation(1);
  entry.mPool = jobs::PoolName("pool");
  entry.mAddress = "10.0.0.1:80";
  entry.mCapacity = { .mMilliCores = 4000, .mMemoryMiB = 4000 };
  return entry;
}

// A query to the policy service that a session has sent to a node.
struct SentAdviceQuery
{
  QueryId mId;
  jobs::AdviceQuery mQuery;
};

// A session of an owner with one job and one worker, which answers polls but
// gives its answers to start orders only when the test says so.
struct OwnerSessionFixture
{
  eventloop::EventLoop mLoop;
  ExternalFormats mFormats{ .mConfigurationRow = {},
                            .mWorkerTable = "registry",
                            .mDecodeConfiguration = {},
                            .mDecodeWorker =
                              [](const WorkerId&, std::string_view) {
                                return RegisteredWorker();
                              },
                            .mDecodeJob = {} };
  // The store's only job.
  std::string mJobId = "job";
  jobs::QueuePolicy mQueue = RecordedQueue();
  std::vector<jobs::StartOrder> mStarts;
  std::vector<SentAdviceQuery> mQueries;
  std::vector<PeerRequest> mStaleAnswers;
  std::function<void(const jobs::OrderAnswer&)> mStartDone;
  int mLeases = 0;
  std::uint64_t mVersion = 1;
  // The store does not answer while this is set.
  bool mStoreSilent = false;
  std::function<void()> mDelayedCommit;
  int mReleased = 0;
  // The session refers to it.
  RowStoreHooks mStore = MakeStore();
  std::unique_ptr<OwnerSession> mSession;

  OwnerSessionFixture() = default;
  OwnerSessionFixture(const OwnerSessionFixture&) = delete;
  OwnerSessionFixture& operator=(const OwnerSessionFixture&) = delete;
  // Delivers the answers that are under way, which the loop would leak.
  ~OwnerSessionFixture()
  {
    mSession.reset();
    RunFor(std::chrono::milliseconds(10));
  }

  RowStoreHooks MakeStore()
  {
    return { .mCommit =
               [this](const RowTransaction&, Duration, const auto& aDone) {
                 const auto answer = [this, aDone] {
                   aDone(CommitAnswer{ .mApplied = true,
                                       .mVersion = RowVersion(++mVersion),
                                       .mCurrent = {} });
                 };
                 if (mStoreSilent) {
                   mDelayedCommit = answer;
                 } else {
                   mLoop.Post(answer);
                 }
               },
             .mRead =
               [this](const RowQuery& aQuery, Duration, const auto& aDone) {
                 RowPage page;
                 if (aQuery.mTable == "jobs") {
                   page.mRows.push_back(
                     { .mKey = { "jobs", "s0", mJobId },
                       .mValue = EncodedJob(mJobId, mQueue) });
                 } else if (aQuery.mTable == "registry") {
                   page.mRows.push_back({ .mKey = { "registry", "", "w" },
                                          .mValue = "",
                                          .mVersion = RowVersion(1) });
                 }
                 mLoop.Post([page, aDone] { aDone(page); });
               },
             .mFeed = [](const FeedQuery&, Duration, const auto&) {} };
  }

  UpstreamHooks MakeUpstreams()
  {
    return {
      .mStart =
        [this](const jobs::StartOrder& aOrder, Duration, const auto& aDone) {
          mStarts.push_back(aOrder);
          mStartDone = aDone;
        },
      .mStop = [](const jobs::StopOrder&, Duration, const auto&) {},
      .mPoll =
        [this](const jobs::PollOrder& aOrder, Duration, const auto& aDone) {
          mLeases += aOrder.mLeaseEnd.has_value() ? 1 : 0;
          jobs::PollAnswer answer{ .mResult = jobs::OrderResult::Done,
                                   .mReport = {} };
          answer.mReport.mNow = jobs::WorkerTime(5000);
          answer.mReport.mIncarnation = jobs::WorkerIncarnation(1);
          mLoop.Post([answer, aDone] { aDone(answer); });
        },
      .mAdvise = {}
    };
  }

  OwnerSessionHooks MakeHooks()
  {
    return { .mOnOwnershipLost = [] {},
             .mOnServing = [] {},
             .mOnReleased = [this] { ++mReleased; },
             .mOnStageTime = [](Stage, Duration) {},
             .mAuthorize = {},
             .mSendAdviceQuery =
               [this](
                 const NodeId&, QueryId aId, const jobs::AdviceQuery& aQuery) {
                 mQueries.push_back({ .mId = aId, .mQuery = aQuery });
               },
             .mSendWorkerCalls = {},
             .mOnStaleAnswer =
               [this](PeerRequest aRequest, std::uint64_t) {
                 mStaleAnswers.push_back(aRequest);
               },
             .mOnQueriesLost = [](std::size_t) {} };
  }

  // Runs the session until it has sent the first start order.
  void Start()
  {
    BeginTerm(Epoch(2));
    RunUntil([this] { return !mStarts.empty(); });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mStarts.size());
    RunFor(std::chrono::milliseconds(20));
  }

  // Replaces the session by one of the same process in another term.
  void BeginTerm(Epoch aEpoch)
  {
    mSession.reset();
    mSession =
      std::make_unique<OwnerSession>(mLoop,
                                     NodeOptions{ .mNode = NodeId("n") },
                                     mStore,
                                     MakeUpstreams(),
                                     mFormats,
                                     OwnerRow{ .mEpoch = aEpoch },
                                     RowVersion(1),
                                     SteadyNow(),
                                     MakeHooks());
    mSession->OnPredecessorGone();
    mSession->Configure({});
  }

  // Runs the session until the condition holds, or for 2 s.
  void RunUntil(const std::function<bool()>& aCondition)
  {
    for (int attempt = 0; attempt < 100 && !aCondition(); ++attempt) {
      RunFor(std::chrono::milliseconds(20));
    }
  }

  void RunFor(Duration aTime)
  {
    const auto timer = mLoop.MakeTimer([this] { mLoop.Stop(); });
    timer->StartAfter(aTime);
    mLoop.Run();
  }

  // Tells the session that the worker has not answered its last start order.
  void LoseStartAnswer() { std::exchange(mStartDone, nullptr)({}); }
};

} // namespace oriolevane::cellnode
