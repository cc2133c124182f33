// A coordinator, its journal, placers and callers under random faults.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <cppunit/TestAssert.h>
#include <fmt/format.h>

#include "coordination/internal/records.h"
#include "coordination/tests/fakecell.h"
#include "coordination/tests/fixture.h"

namespace oriolevane::coordination::testing {

using protocol::Outcome;
using protocol::TaskState;

constexpr std::uint32_t kShards = 3;
// Ids are asked about at random in a window that moves on.
constexpr std::uint32_t kIds = 24;
constexpr int kStepsPerId = 3;
constexpr int kSteps = 700;
constexpr int kMostHealingSteps = 4'000;

// One run: a coordinator, its journal, placers and callers, with faults drawn
// from the seed, checked after each step.
class World
{
public:
  explicit World(std::uint64_t aSeed)
    : mRandom(aSeed)
    , mCell(kShards, mRandom)
  {
    mOptions.mShardCount = kShards;
    mOptions.mSeed = aSeed;
    mOptions.mHoldLease = 3'000ms;
    mPolicy->mWorkloads[WorkloadId("matches")].mRetry.mBudgetBurst = 100;
    StartOwner();
  }

  void Run()
  {
    for (int step = 0; step < kSteps; ++step) {
      Step(true);
    }
    Heal();
  }

  FakeCell& Cell() { return mCell; }
  std::size_t Answered() const { return mAnswered; }

private:
  struct Asked
  {
    protocol::RequestSpec mSpec;
    bool mSubmit = false;
  };

  bool Chance(std::uint32_t aPerMille) { return mRandom() % 1000 < aPerMille; }

  void Check(bool aHolds, const char* aWhat, const RequestId& aId = {})
  {
    if (!aHolds) {
      CPPUNIT_FAIL(fmt::format(
        "{} {} (seed {}, step {})", aId, aWhat, mOptions.mSeed, mStep));
    }
  }

  void StartOwner()
  {
    mOwner = std::make_unique<Coordinator>(mOptions);
    for (const std::string& record : mJournal) {
      Check(mOwner->Replay(record).ok(), "the journal replays");
      if (mOwner->CommittedSequence() == mDigestAt) {
        Check(mOwner->StateDigest() == mDigest, "recovered state is equal");
      }
    }
    Take(mOwner->BeginServing(mNow));
    Handle(PolicyChanged{ mPolicy });
    Handle(StoreHealth{ mStoreUp });
  }

  // The process dies at any moment; the journal may have taken a last part of
  // what was on its way.
  void CrashOwner()
  {
    mDigestAt = mOwner->CommittedSequence();
    mDigest = mOwner->StateDigest();
    while (!mAppends.empty() && Chance(500)) {
      WriteRecord(mAppends.front());
      mAppends.erase(mAppends.begin());
    }
    mAppends.clear();
    mCalls.clear();
    ForgiveUnrecorded();
    mOptions.mEpoch = Epoch(mOptions.mEpoch.mValue + 1);
    StartOwner();
  }

  // Of a request that the journal never held, nothing is promised across the
  // death of its owner: what ran of it may be known to no one.
  void ForgiveUnrecorded()
  {
    for (const auto& [key, truth] : mCell.Truth()) {
      if (!mRecorded.contains(key.first)) {
        mForgiven[key] = truth.mStarts;
        mToldNotRun.erase(key.first);
      }
    }
  }

  void Take(std::vector<CoordinatorAction> aActions)
  {
    for (CoordinatorAction& action : aActions) {
      if (auto* sent = std::get_if<SendToPlacer>(&action)) {
        mToPlacers.push_back(std::move(*sent));
      } else if (auto* record = std::get_if<AppendRecord>(&action)) {
        mAppends.push_back(std::move(*record));
      } else if (auto* reply = std::get_if<ReplyToCaller>(&action)) {
        OnReply(reply->mReply);
      }
    }
  }

  void Handle(const CoordinatorEvent& aEvent)
  {
    Take(mOwner->Handle(aEvent, mNow));
  }

  // True when the record is in the journal now.
  bool WriteRecord(const AppendRecord& aRecord)
  {
    if (aRecord.mSequence <= mJournal.size()) {
      Check(mJournal[aRecord.mSequence - 1] == aRecord.mBytes,
            "a written record never changes");
      return true;
    }
    if (aRecord.mSequence != mJournal.size() + 1) {
      return false;
    }
    mJournal.push_back(aRecord.mBytes);
    const auto record = internal::DecodeRecord(aRecord.mBytes);
    Check(record.ok(), "a record decodes");
    if (const auto* accepted =
          std::get_if<internal::AcceptedRecord>(&record->mRecord)) {
      mRecorded.insert(accepted->mSpec.mId);
      NoteDispatched(accepted->mSpec.mId, accepted->mTasks);
    } else if (const auto* sent =
                 std::get_if<internal::DispatchedRecord>(&record->mRecord)) {
      NoteDispatched(sent->mId, sent->mTasks);
    }
    return true;
  }

  void NoteDispatched(const RequestId& aId,
                      const std::vector<internal::DispatchedTask>& aTasks)
  {
    for (const internal::DispatchedTask& task : aTasks) {
      mDispatched.insert({ aId, task.mIndex, task.mAttempt });
    }
  }

  void StepJournal(bool aFaults)
  {
    if (mAppends.empty()) {
      return;
    }
    const AppendRecord record = mAppends.front();
    mAppends.erase(mAppends.begin());
    const bool works = mStoreUp && !(aFaults && Chance(50));
    const bool written = (works || Chance(500)) && WriteRecord(record);
    if (written && works) {
      Handle(RecordCommitted{ record.mSequence });
    } else {
      // When it was not written the store may or may not know.
      Handle(RecordFailed{ record.mSequence, !written && Chance(500) });
    }
  }

  template<typename Message>
  std::optional<Message> TakeOne(std::vector<Message>& aMessages, bool aFaults)
  {
    if (aMessages.empty()) {
      return std::nullopt;
    }
    const std::size_t index = aFaults ? mRandom() % aMessages.size() : 0;
    Message message = aMessages[index];
    if (!aFaults || !Chance(100)) {
      aMessages.erase(aMessages.begin() + static_cast<std::ptrdiff_t>(index));
    }
    if (aFaults && Chance(100)) {
      return std::nullopt;
    }
    return message;
  }

  void StepNetwork(bool aFaults)
  {
    for (int delivered = 0; delivered < (aFaults ? 6 : 100); ++delivered) {
      if (auto sent = TakeOne(mToPlacers, aFaults)) {
        if (const auto* place =
              std::get_if<protocol::PlaceTasks>(&sent->mMessage)) {
          CheckRecordedFirst(*place);
        }
        mCell.Deliver(sent->mShard, sent->mMessage, mNow);
      }
      for (CoordinatorEvent& event : mCell.TakeMessages()) {
        mToOwner.push_back(std::move(event));
      }
      if (auto event = TakeOne(mToOwner, aFaults)) {
        Handle(*event);
      }
    }
  }

  void CheckRecordedFirst(const protocol::PlaceTasks& aPlace)
  {
    if (!aPlace.mNeverRepeat || aPlace.mHold) {
      return;
    }
    for (const std::uint32_t index : aPlace.mIndexes) {
      Check(mDispatched.contains({ aPlace.mRequest, index, aPlace.mAttempt }),
            "a never-repeat task is recorded before it is sent");
    }
  }

  protocol::RequestSpec RandomSpec()
  {
    const std::uint64_t number =
      static_cast<std::uint64_t>(mStep / kStepsPerId) + mRandom() % kIds;
    protocol::RequestSpec spec = MakeSpec(fmt::format("r{}", number));
    spec.mNeverRepeat = number % 2 == 0;
    spec.mCallerWaits = number % 3 != 0;
    spec.mTaskCount = number % 5 == 0 ? 3 : 1;
    spec.mStartTogether = number % 10 == 0;
    if (number % 10 == 0) {
      spec.mPerTask = { .mMilliCores = 200'000, .mSlots = 1 };
      spec.mPerTask.mMilliCores = 60'000;
      spec.mTaskCount = 8;
    }
    if (number % 7 == 0) {
      spec.mDeadline = 20'000ms;
    }
    return spec;
  }

  void StepCaller()
  {
    const protocol::RequestSpec spec = RandomSpec();
    const std::uint64_t call = mNextCall++;
    protocol::CallBody body = protocol::SubmitCall{ spec };
    if (Chance(400)) {
      body = protocol::StatusCall{ .mId = spec.mId, .mWait = Chance(300) };
    } else if (Chance(200)) {
      body = protocol::CancelCall{ spec.mId };
    } else {
      mToldNotRun.erase(spec.mId);
    }
    mCalls[call] = { spec, std::holds_alternative<protocol::SubmitCall>(body) };
    Handle(CallArrived{ mOrigin, { .mCall = call, .mBody = body } });
    if (Chance(50)) {
      mCalls.erase(call);
      Handle(CallAbandoned{ mOrigin, call });
    }
  }

  void OnReply(const protocol::CallerReply& aReply)
  {
    const auto found = mCalls.find(aReply.mCall);
    Check(found != mCalls.end(), "one reply to each open call");
    const Asked asked = found->second;
    mCalls.erase(found);
    const protocol::RequestStatus& status = aReply.mStatus;
    Check(status.mId == asked.mSpec.mId, "a reply is about its request");
    if (status.mOutcome == Outcome::NotRun) {
      mToldNotRun.insert(status.mId);
      CheckNotRun();
    }
    if (status.mOutcome != Outcome::Ran) {
      return;
    }
    ++mAnswered;
    for (const protocol::TaskStatus& task : status.mTasks) {
      if (task.mState == TaskState::Succeeded) {
        const auto truth = mCell.Truth().find({ status.mId, task.mIndex });
        Check(truth != mCell.Truth().end() &&
                truth->second.mAnswers.contains(task.mAnswer),
              "an answer is the task's own");
      }
    }
  }

  void CheckNotRun()
  {
    for (const auto& [key, truth] : mCell.Truth()) {
      Check(truth.mStarts == mForgiven[key] || !mToldNotRun.contains(key.first),
            "was not run when told so",
            key.first);
    }
  }

  void CheckTruth()
  {
    CheckNotRun();
    for (const auto& [key, truth] : mCell.Truth()) {
      Check(truth.mRunning <= 1, "runs once at a time", key.first);
      const bool neverRepeat = std::stoul(key.first.mValue.substr(1)) % 2 == 0;
      Check(
        !neverRepeat || truth.mStarts <= 1, "starts at most once", key.first);
    }
  }

  void StepFaults()
  {
    if (Chance(8)) {
      CrashOwner();
    }
    if (Chance(15)) {
      mStoreUp = !mStoreUp;
      Handle(StoreHealth{ mStoreUp });
    }
    const auto shard = static_cast<std::uint32_t>(mRandom() % kShards);
    if (!mCell.At(shard).mReady && Chance(150)) {
      mCell.FinishRecovery(shard);
    } else if (Chance(8)) {
      mCell.CrashPlacer(shard);
    }
  }

  void Step(bool aFaults)
  {
    ++mStep;
    mNow += std::chrono::milliseconds(20 + mRandom() % 200);
    if (aFaults) {
      StepFaults();
      StepCaller();
    }
    StepJournal(aFaults);
    mCell.Step(mNow);
    StepNetwork(aFaults);
    if (mStep % 5 == 0) {
      for (std::uint32_t shard = 0; shard < kShards; ++shard) {
        Handle(mCell.Digest(shard));
      }
    }
    Handle(Tick{});
    CheckTruth();
  }

  void Heal()
  {
    mCell.mFaults = false;
    mStoreUp = true;
    Handle(StoreHealth{ true });
    for (std::uint32_t shard = 0; shard < kShards; ++shard) {
      if (!mCell.At(shard).mReady) {
        mCell.FinishRecovery(shard);
      }
    }
    for (int step = 0; step < kMostHealingSteps; ++step) {
      Step(false);
      if (mOwner->IsIdle() && mCalls.empty()) {
        return;
      }
    }
    Check(false, "everything ends once the faults end");
  }

  std::mt19937_64 mRandom;
  CoordinatorOptions mOptions;
  FakeCell mCell;
  std::shared_ptr<policy::CellPolicy> mPolicy = MakePolicy();
  std::unique_ptr<Coordinator> mOwner;
  CallOrigin mOrigin{ .mNode = NodeId("entry-1") };
  TimePoint mNow{ std::chrono::hours(1) };
  bool mStoreUp = true;
  int mStep = 0;
  std::uint64_t mNextCall = 1;
  std::size_t mAnswered = 0;
  std::uint64_t mDigestAt = ~0ULL;
  std::uint64_t mDigest = 0;
  std::vector<SendToPlacer> mToPlacers;
  std::vector<CoordinatorEvent> mToOwner;
  std::vector<AppendRecord> mAppends;
  std::vector<std::string> mJournal;
  std::map<std::uint64_t, Asked> mCalls;
  std::set<RequestId> mToldNotRun;
  std::set<RequestId> mRecorded;
  std::map<std::pair<RequestId, std::uint32_t>, std::uint32_t> mForgiven;
  std::set<protocol::TaskKey> mDispatched;
};

} // namespace oriolevane::coordination::testing
