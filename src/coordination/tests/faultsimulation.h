// Simulates a coordinator, its journal, placers and callers under random
// faults.
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
// Calls pick request ids at random from a window of kIdWindow, which moves on
// by one id every kStepsPerId steps.
constexpr std::uint32_t kIdWindow = 24;
constexpr int kStepsPerId = 3;
constexpr int kSteps = 700;
constexpr int kMaxFaultFreeSteps = 4'000;

// Runs one simulation with faults drawn from the seed. The guarantees are
// checked after each step, and CPPUNIT_FAIL reports a violation with seed and
// step.
class FaultSimulation
{
public:
  explicit FaultSimulation(std::uint64_t aSeed)
    : mRandom(aSeed)
    , mCell(kShards, mRandom)
  {
    mOptions.mShardCount = kShards;
    mOptions.mSeed = aSeed;
    mOptions.mHoldLease = 3'000ms;
    mPolicy->mWorkloads[WorkloadId("matches")].mRetry.mBudgetBurst = 100;
    StartOwner();
  }

  // Runs kSteps steps with faults, then steps without faults until all requests
  // have ended.
  void Run()
  {
    for (int step = 0; step < kSteps; ++step) {
      Step(true);
    }
    RunWithoutFaults();
  }

  FakeCell& Cell() { return mCell; }
  // Returns how many replies had the outcome Ran.
  std::size_t RanReplies() const { return mRanReplies; }

private:
  struct OpenCall
  {
    protocol::RequestSpec mSpec;
    bool mIsSubmission = false;
  };

  bool Chance(std::uint32_t aPerMille) { return mRandom() % 1000 < aPerMille; }

  // Fails the test with the text of the violation unless aHolds is true.
  void Check(bool aHolds, const char* aViolation, const RequestId& aId = {})
  {
    if (!aHolds) {
      CPPUNIT_FAIL(fmt::format(
        "{} {} (seed {}, step {})", aId, aViolation, mOptions.mSeed, mStep));
    }
  }

  void StartOwner()
  {
    mOwner = std::make_unique<Coordinator>(mOptions);
    for (const std::string& record : mJournal) {
      Check(mOwner->Replay(record).ok(), "a journal record was not replayed");
      if (mOwner->CommittedSequence() == mDigestedSequence) {
        Check(mOwner->StateDigest() == mStateDigest,
              "the recovered state differs from the state before the crash");
      }
    }
    CollectActions(mOwner->BeginServing(mNow));
    Handle(PolicyChanged{ mPolicy });
    Handle(StoreHealth{ mStoreUp });
  }

  // Replaces the owner as after a crash. The journal may have written some of
  // the records that were on their way.
  void CrashOwner()
  {
    mDigestedSequence = mOwner->CommittedSequence();
    mStateDigest = mOwner->StateDigest();
    while (!mPendingRecords.empty() && Chance(500)) {
      WriteRecord(mPendingRecords.front());
      mPendingRecords.erase(mPendingRecords.begin());
    }
    mPendingRecords.clear();
    mCalls.clear();
    ExemptUnrecorded();
    mOptions.mEpoch = Epoch(mOptions.mEpoch.mValue + 1);
    StartOwner();
  }

  // Exempts the starts of unrecorded requests from the check of not-run
  // replies. Such a request has no guarantee across a crash of its owner, as
  // afterwards no process may know what ran of it.
  void ExemptUnrecorded()
  {
    for (const auto& [key, runs] : mCell.RunsByTask()) {
      if (!mRecorded.contains(key.first)) {
        mExemptStarts[key] = runs.mStarts;
        mReportedNotRun.erase(key.first);
      }
    }
  }

  void CollectActions(std::vector<CoordinatorAction> aActions)
  {
    for (CoordinatorAction& action : aActions) {
      if (auto* sent = std::get_if<SendToPlacer>(&action)) {
        mToPlacers.push_back(std::move(*sent));
      } else if (auto* record = std::get_if<AppendRecord>(&action)) {
        mPendingRecords.push_back(std::move(*record));
      } else if (auto* reply = std::get_if<ReplyToCaller>(&action)) {
        OnReply(reply->mReply);
      }
    }
  }

  void Handle(const CoordinatorEvent& aEvent)
  {
    CollectActions(mOwner->Handle(aEvent, mNow));
  }

  // Returns true when the record is in the journal afterwards.
  bool WriteRecord(const AppendRecord& aRecord)
  {
    if (aRecord.mSequence <= mJournal.size()) {
      Check(mJournal[aRecord.mSequence - 1] == aRecord.mBytes,
            "a written record was changed");
      return true;
    }
    if (aRecord.mSequence != mJournal.size() + 1) {
      return false;
    }
    mJournal.push_back(aRecord.mBytes);
    const auto record = internal::DecodeRecord(aRecord.mBytes);
    Check(record.ok(), "a record could not be decoded");
    if (const auto* accepted =
          std::get_if<internal::AcceptedRecord>(&record->mRecord)) {
      mRecorded.insert(accepted->mSpec.mId);
      AddDispatched(accepted->mSpec.mId, accepted->mTasks);
    } else if (const auto* sent =
                 std::get_if<internal::DispatchedRecord>(&record->mRecord)) {
      AddDispatched(sent->mId, sent->mTasks);
    }
    return true;
  }

  void AddDispatched(const RequestId& aId,
                     const std::vector<internal::DispatchedTask>& aTasks)
  {
    for (const internal::DispatchedTask& task : aTasks) {
      mDispatched.insert({ aId, task.mIndex, task.mAttempt });
    }
  }

  void StepJournal(bool aFaults)
  {
    if (mPendingRecords.empty()) {
      return;
    }
    const AppendRecord record = mPendingRecords.front();
    mPendingRecords.erase(mPendingRecords.begin());
    const bool works = mStoreUp && !(aFaults && Chance(50));
    const bool written = (works || Chance(500)) && WriteRecord(record);
    if (written && works) {
      Handle(RecordCommitted{ record.mSequence });
    } else {
      // The store may or may not know that a record was not written.
      Handle(RecordFailed{ record.mSequence, !written && Chance(500) });
    }
  }

  // Returns the next message. With faults it is a random one, which may be lost
  // or be delivered again later.
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
            "a never-repeat task was sent before its dispatch was recorded");
    }
  }

  protocol::RequestSpec RandomSpec()
  {
    const std::uint64_t number =
      static_cast<std::uint64_t>(mStep / kStepsPerId) + mRandom() % kIdWindow;
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

  void SendRandomCall()
  {
    const protocol::RequestSpec spec = RandomSpec();
    const std::uint64_t call = mNextCall++;
    protocol::CallBody body = protocol::SubmitCall{ spec };
    if (Chance(400)) {
      body = protocol::StatusCall{ .mId = spec.mId, .mWait = Chance(300) };
    } else if (Chance(200)) {
      body = protocol::CancelCall{ spec.mId };
    } else {
      mReportedNotRun.erase(spec.mId);
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
    Check(found != mCalls.end(), "a reply came without an open call");
    const OpenCall call = found->second;
    mCalls.erase(found);
    const protocol::RequestStatus& status = aReply.mStatus;
    Check(status.mId == call.mSpec.mId, "a reply was about another request");
    if (status.mOutcome == Outcome::NotRun) {
      mReportedNotRun.insert(status.mId);
      CheckNotRun();
    }
    if (status.mOutcome != Outcome::Ran) {
      return;
    }
    ++mRanReplies;
    for (const protocol::TaskStatus& task : status.mTasks) {
      if (task.mState == TaskState::Succeeded) {
        const auto runs = mCell.RunsByTask().find({ status.mId, task.mIndex });
        Check(runs != mCell.RunsByTask().end() &&
                runs->second.mAnswers.contains(task.mAnswer),
              "an answer was not one that its task gave");
      }
    }
  }

  void CheckNotRun()
  {
    for (const auto& [key, runs] : mCell.RunsByTask()) {
      Check(runs.mStarts == mExemptStarts[key] ||
              !mReportedNotRun.contains(key.first),
            "ran although its caller was told that it was not run",
            key.first);
    }
  }

  void CheckGuarantees()
  {
    CheckNotRun();
    for (const auto& [key, runs] : mCell.RunsByTask()) {
      Check(runs.mRunning <= 1, "ran twice at the same time", key.first);
      const bool neverRepeat = std::stoul(key.first.mValue.substr(1)) % 2 == 0;
      Check(!neverRepeat || runs.mStarts <= 1,
            "started twice although it must never be repeated",
            key.first);
    }
  }

  void InjectFaults()
  {
    if (Chance(8)) {
      CrashOwner();
    }
    if (Chance(15)) {
      mStoreUp = !mStoreUp;
      Handle(StoreHealth{ mStoreUp });
    }
    const auto shard = static_cast<std::uint32_t>(mRandom() % kShards);
    if (!mCell.ShardAt(shard).mReady && Chance(150)) {
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
      InjectFaults();
      SendRandomCall();
    }
    StepJournal(aFaults);
    mCell.Step(mNow);
    StepNetwork(aFaults);
    if (mStep % 5 == 0) {
      for (std::uint32_t shard = 0; shard < kShards; ++shard) {
        Handle(mCell.NextDigest(shard));
      }
    }
    Handle(Tick{});
    CheckGuarantees();
  }

  void RunWithoutFaults()
  {
    mCell.mInjectFaults = false;
    mStoreUp = true;
    Handle(StoreHealth{ true });
    for (std::uint32_t shard = 0; shard < kShards; ++shard) {
      if (!mCell.ShardAt(shard).mReady) {
        mCell.FinishRecovery(shard);
      }
    }
    for (int step = 0; step < kMaxFaultFreeSteps; ++step) {
      Step(false);
      if (mOwner->IsIdle() && mCalls.empty()) {
        return;
      }
    }
    Check(false,
          "requests or calls were still open long after the faults ended");
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
  std::size_t mRanReplies = 0;
  std::uint64_t mDigestedSequence = ~0ULL;
  std::uint64_t mStateDigest = 0;
  std::vector<SendToPlacer> mToPlacers;
  std::vector<CoordinatorEvent> mToOwner;
  std::vector<AppendRecord> mPendingRecords;
  std::vector<std::string> mJournal;
  std::map<std::uint64_t, OpenCall> mCalls;
  std::set<RequestId> mReportedNotRun;
  std::set<RequestId> mRecorded;
  std::map<std::pair<RequestId, std::uint32_t>, std::uint32_t> mExemptStarts;
  std::set<protocol::TaskKey> mDispatched;
};

} // namespace oriolevane::coordination::testing
