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

inline std::string
EncodedJob()
{
  jobs::JobRecord job;
  job.mId = jobs::JobId("job");
  job.mQueue.mName = jobs::QueueName("queue");
  job.mQueue.mPool = jobs::PoolName("pool");
  job.mQueue.mMaxAttempts = 3;
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
  std::vector<jobs::StartOrder> mStarts;
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
                   page.mRows.push_back({ .mKey = { "jobs", "s0", "job" },
                                          .mValue = EncodedJob() });
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
             .mSendAdviceQuery = {},
             .mSendWorkerCalls = {} };
  }

  // Runs the session until it has sent the first start order.
  void Start()
  {
    mSession =
      std::make_unique<OwnerSession>(mLoop,
                                     NodeOptions{ .mNode = NodeId("n") },
                                     mStore,
                                     MakeUpstreams(),
                                     mFormats,
                                     OwnerRow{ .mEpoch = Epoch(2) },
                                     RowVersion(1),
                                     SteadyNow(),
                                     MakeHooks());
    mSession->OnPredecessorGone();
    mSession->Configure({});
    for (int attempt = 0; attempt < 100 && mStarts.empty(); ++attempt) {
      RunFor(std::chrono::milliseconds(20));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mStarts.size());
    RunFor(std::chrono::milliseconds(20));
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
