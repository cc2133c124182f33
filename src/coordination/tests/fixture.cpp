#include "coordination/tests/fixture.h"

#include <set>

#include <cppunit/TestAssert.h>

namespace oriolevane::coordination::testing {

namespace {

const CallOrigin kOrigin{ .mNode = NodeId("entry-1"),
                          .mIncarnation = Incarnation(1) };
constexpr std::chrono::milliseconds kTickInterval{ 50 };

} // namespace

protocol::RequestSpec
MakeSpec(const std::string& aId)
{
  return { .mId = RequestId(aId),
           .mTeam = TeamId("workshop"),
           .mWorkload = WorkloadId("matches"),
           .mCallerWaits = true,
           .mPerTask = { .mMilliCores = 1000, .mMemoryMiB = 512, .mSlots = 1 },
           .mPayload = "input of " + aId };
}

std::shared_ptr<policy::CellPolicy>
MakePolicy()
{
  auto policy = std::make_shared<policy::CellPolicy>();
  policy->mVersion = ConfigurationVersion(1);
  policy->mWorkloads[WorkloadId("matches")].mWorkload = WorkloadId("matches");
  policy->mTeams[TeamId("workshop")] = {
    .mTeam = TeamId("workshop"),
    .mLimit = { 10'000'000, 10'000'000, 1'000, 10'000 }
  };
  return policy;
}

protocol::ShardDigest
MakeDigest(std::uint32_t aShard, std::uint64_t aEpoch, std::uint64_t aSequence)
{
  const Resources worker{ 64'000, 262'144, 2, 8 };
  const Resources all{ 384'000, 1'572'864, 12, 48 };
  return { .mShard = ShardId(aShard),
           .mEpoch = Epoch(aEpoch),
           .mSequence = aSequence,
           .mReady = true,
           .mWorkers = 6,
           .mTotal = all,
           .mFree = all,
           .mLargestWorker = worker,
           .mLargestFree = worker };
}

Fixture::Fixture(std::uint32_t aShards, CoordinatorOptions aOptions)
  : mOptions(aOptions)
{
  mOptions.mShardCount = aShards;
  mCoordinator = std::make_unique<Coordinator>(mOptions);
}

void
Fixture::StartServing()
{
  CollectActions(mCoordinator->BeginServing(mNow));
  Handle(PolicyChanged{ mPolicy });
  for (std::uint32_t shard = 0; shard < mOptions.mShardCount; ++shard) {
    Handle(DigestReceived{ MakeDigest(shard, mShardEpoch, 1) });
    AnswerReconcile(shard, mShardEpoch);
  }
  CPPUNIT_ASSERT(mCoordinator->IsServing());
}

void
Fixture::Handle(const CoordinatorEvent& aEvent)
{
  CollectActions(mCoordinator->Handle(aEvent, mNow));
}

void
Fixture::CollectActions(std::vector<CoordinatorAction> aActions)
{
  bool appended = false;
  for (CoordinatorAction& action : aActions) {
    if (auto* sent = std::get_if<SendToPlacer>(&action)) {
      mSent.push_back(std::move(*sent));
    } else if (auto* record = std::get_if<AppendRecord>(&action)) {
      mAppended.push_back(std::move(*record));
      appended = true;
    } else if (auto* reply = std::get_if<ReplyToCaller>(&action)) {
      mReplies.push_back(std::move(*reply));
    } else {
      mSamples.push_back(std::get<ObjectiveSample>(action));
    }
  }
  if (appended && mAutoCommit) {
    Commit();
  }
}

void
Fixture::AdvanceTime(std::chrono::milliseconds aTime)
{
  for (auto passed = 0ms; passed < aTime; passed += kTickInterval) {
    mNow += kTickInterval;
    Handle(Tick{});
  }
}

std::uint64_t
Fixture::MakeCall(protocol::CallBody aBody)
{
  const std::uint64_t call = mNextCall++;
  Handle(CallArrived{ kOrigin, { .mCall = call, .mBody = std::move(aBody) } });
  return call;
}

std::uint64_t
Fixture::Submit(const protocol::RequestSpec& aSpec)
{
  return MakeCall(protocol::SubmitCall{ aSpec });
}

std::uint64_t
Fixture::Cancel(const std::string& aId)
{
  return MakeCall(protocol::CancelCall{ RequestId(aId) });
}

std::uint64_t
Fixture::QueryStatus(const std::string& aId, bool aExplain)
{
  return MakeCall(
    protocol::StatusCall{ .mId = RequestId(aId), .mExplain = aExplain });
}

void
Fixture::SendTaskUpdate(const protocol::TaskKey& aTask,
                        ShardId aShard,
                        protocol::TaskState aState,
                        protocol::TaskEndReason aReason,
                        const std::string& aAnswer)
{
  Handle(protocol::TaskUpdate{
    .mRoute = { .mShard = aShard, .mSenderEpoch = Epoch(mShardEpoch) },
    .mTask = aTask,
    .mState = aState,
    .mReason = aReason,
    .mWorker = WorkerId("worker-1"),
    .mAnswer = aAnswer });
}

void
Fixture::AnswerReconcile(std::uint32_t aShard,
                         std::uint64_t aEpoch,
                         std::vector<protocol::HeldTask> aHeld,
                         bool aComplete)
{
  Handle(protocol::ReconcileAnswer{
    .mRoute = { .mShard = ShardId(aShard), .mSenderEpoch = Epoch(aEpoch) },
    .mComplete = aComplete,
    .mTasks = std::move(aHeld) });
}

void
Fixture::ReportAll(protocol::TaskState aState, const std::string& aAnswer)
{
  for (const auto& place : Sent<protocol::PlaceTasks>()) {
    for (const std::uint32_t index : place.mIndexes) {
      SendTaskUpdate({ place.mRequest, index, place.mAttempt },
                     place.mRoute.mShard,
                     aState,
                     protocol::TaskEndReason::None,
                     aAnswer);
    }
  }
}

std::size_t
Fixture::PlacedAttempts() const
{
  std::set<protocol::TaskKey> attempts;
  for (const auto& place : Sent<protocol::PlaceTasks>()) {
    for (const std::uint32_t index : place.mIndexes) {
      attempts.insert({ place.mRequest, index, place.mAttempt });
    }
  }
  return attempts.size();
}

void
Fixture::Commit()
{
  std::uint64_t last = 0;
  for (AppendRecord& record : mAppended) {
    if (record.mSequence == mJournal.size() + 1) {
      mJournal.push_back(std::move(record.mBytes));
    }
    last = record.mSequence;
  }
  mAppended.clear();
  if (last > 0) {
    Handle(RecordCommitted{ last });
  }
}

void
Fixture::Recover()
{
  mOptions.mEpoch = Epoch(mOptions.mEpoch.mValue + 1);
  mCoordinator = std::make_unique<Coordinator>(mOptions);
  mSent.clear();
  mAppended.clear();
  for (const std::string& record : mJournal) {
    CPPUNIT_ASSERT(mCoordinator->Replay(record).ok());
  }
}

std::vector<protocol::RequestStatus>
Fixture::Replies(std::uint64_t aCall) const
{
  std::vector<protocol::RequestStatus> found;
  for (const ReplyToCaller& reply : mReplies) {
    if (reply.mReply.mCall == aCall) {
      found.push_back(reply.mReply.mStatus);
    }
  }
  return found;
}

std::optional<protocol::RequestStatus>
Fixture::Reply(std::uint64_t aCall) const
{
  const std::vector<protocol::RequestStatus> found = Replies(aCall);
  CPPUNIT_ASSERT(found.size() <= 1);
  return found.empty() ? std::nullopt : std::optional(found.front());
}

} // namespace oriolevane::coordination::testing
