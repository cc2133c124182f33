#include "cellnode/internal/ownersession.h"

#include <utility>

#include "cellnode/recordcodec.h"
#include "cellnode/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;
using namespace std::chrono_literals;

namespace {

const jobs::PoolName kPool("pool");
const WorkerId kWorker("w");

std::string
EncodedJob()
{
  jobs::JobRecord job;
  job.mId = jobs::JobId("job");
  job.mQueue.mName = jobs::QueueName("queue");
  job.mQueue.mPool = kPool;
  job.mQueue.mMaxAttempts = 3;
  jobs::StepSpec step;
  step.mTaskCount = 1;
  step.mResources = { .mMilliCores = 1000, .mMemoryMiB = 100 };
  step.mEstimate = 1000ms;
  job.mSpec = { .mPayload = "payload", .mSteps = { step } };
  return Encode(job);
}

jobs::WorkerEntry
Entry()
{
  jobs::WorkerEntry entry;
  entry.mId = kWorker;
  entry.mIncarnation = jobs::WorkerIncarnation(1);
  entry.mPool = kPool;
  entry.mAddress = "10.0.0.1:80";
  entry.mCapacity = { .mMilliCores = 4000, .mMemoryMiB = 4000 };
  return entry;
}

// A session of an owner with one job and one worker, which answers polls but
// gives its answers to start orders only when the test says so.
struct Fixture
{
  eventloop::EventLoop mLoop;
  ExternalFormats mFormats{
    .mConfigurationRow = {},
    .mWorkerTable = "registry",
    .mDecodeConfiguration = {},
    .mDecodeWorker = [](const WorkerId&, std::string_view) { return Entry(); },
    .mDecodeJob = {}
  };
  std::vector<jobs::StartOrder> mStarts;
  std::function<void(const jobs::OrderAnswer&)> mStartDone;
  int mLeases = 0;
  std::uint64_t mVersion = 1;
  // The store does not answer while this is set.
  bool mStoreSilent = false;
  std::function<void()> mDelayedCommit;
  int mReleased = 0;
  std::unique_ptr<OwnerSession> mSession;

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
                   page.mRows.push_back(
                     { .mKey = { "registry", "", kWorker.mValue },
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
                                     MakeStore(),
                                     MakeUpstreams(),
                                     mFormats,
                                     OwnerRow{ .mEpoch = Epoch(2) },
                                     RowVersion(1),
                                     std::chrono::steady_clock::now(),
                                     MakeHooks());
    mSession->OnPredecessorGone();
    mSession->Configure({});
    for (int attempt = 0; attempt < 100 && mStarts.empty(); ++attempt) {
      RunFor(20ms);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mStarts.size());
    RunFor(20ms);
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

} // namespace

void
OwnerSessionTests(Section& aRoot)
{
  aRoot.Describe("a session that goes on", [](Section& aSection) {
    aSection.It("repeats a start order without an answer", [] {
      Fixture fixture;
      fixture.Start();
      fixture.LoseStartAnswer();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.mStarts.size());
    });
  });
  // Guards against leases that end later than a successor counts on: it may
  // take over as soon as the release is recorded.
  aRoot.Describe("a session that releases the shard", [](Section& aSection) {
    aSection.It("repeats no start order before the release is recorded", [] {
      Fixture fixture;
      fixture.Start();
      fixture.mStoreSilent = true;
      fixture.mSession->Release();
      fixture.RunFor(20ms);
      fixture.LoseStartAnswer();
      fixture.RunFor(20ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mStarts.size());
    });
    aSection.It("reports the release", [] {
      Fixture fixture;
      fixture.Start();
      fixture.mSession->Release();
      fixture.RunFor(100ms);
      CPPUNIT_ASSERT_EQUAL(1, fixture.mReleased);
    });
  });
  // Guards against a session that acts, or ends the session after it, between
  // its end and its destruction.
  aRoot.Describe("a halted session", [](Section& aSection) {
    aSection.It("handles no answer of a worker", [] {
      Fixture fixture;
      fixture.Start();
      fixture.mSession->Halt();
      const int leases = fixture.mLeases;
      fixture.LoseStartAnswer();
      fixture.RunFor(50ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mStarts.size());
      CPPUNIT_ASSERT_EQUAL(leases, fixture.mLeases);
    });
    aSection.It("reports no release that the store confirms later", [] {
      Fixture fixture;
      fixture.Start();
      fixture.mStoreSilent = true;
      fixture.mSession->Release();
      fixture.RunFor(100ms);
      CPPUNIT_ASSERT(fixture.mDelayedCommit != nullptr);
      fixture.mSession->Halt();
      std::exchange(fixture.mDelayedCommit, nullptr)();
      fixture.RunFor(50ms);
      CPPUNIT_ASSERT_EQUAL(0, fixture.mReleased);
    });
  });
}

} // namespace oriolevane
