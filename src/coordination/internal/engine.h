// The decisions of a coordinator. The functions are grouped by topic over the
// engine*.cpp files.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <absl/status/status.h>

#include "coordination/internal/admission.h"
#include "coordination/internal/callbook.h"
#include "coordination/internal/liverequest.h"
#include "coordination/internal/orphans.h"
#include "coordination/internal/outcomestore.h"
#include "coordination/internal/pendingrecords.h"
#include "coordination/internal/records.h"
#include "coordination/internal/requesttable.h"
#include "coordination/internal/retrybudget.h"
#include "coordination/internal/shardrouter.h"
#include "coordination/types/coordinatoraction.h"
#include "coordination/types/coordinatorevent.h"
#include "coordination/types/coordinatoroptions.h"
#include "policy/types/cellpolicy.h"

namespace oriolevane::coordination::internal {

// Tasks of one request that go to one shard in one message.
struct Placement
{
  ShardId mShard;
  std::uint32_t mAttempt = 0;
  std::vector<std::uint32_t> mIndexes;
};

class Engine
{
public:
  explicit Engine(CoordinatorOptions aOptions);

  absl::Status Restore(std::string_view aSnapshot);
  absl::Status Replay(std::string_view aRecord);
  std::vector<CoordinatorAction> BeginServing(TimePoint aNow);
  std::vector<CoordinatorAction> Handle(const CoordinatorEvent& aEvent,
                                        TimePoint aNow);
  std::string Snapshot() const;
  std::uint64_t CommittedSequence() const { return mPending.Committed(); }
  bool IsServing() const { return mServing; }
  bool IsIdle() const;
  std::size_t LiveRequests() const { return mRequests.Size(); }
  std::size_t PendingCount() const { return mPending.Size(); }

private:
  // Events that need no file of their own.
  void On(const CallArrived& aEvent);
  void On(const CallAbandoned& aEvent);
  void On(const protocol::TaskUpdate& aEvent);
  void On(const protocol::TasksHeld& aEvent);
  void On(const protocol::ReconcileAnswer& aEvent);
  void On(const DigestReceived& aEvent);
  void On(const RecordCommitted& aEvent);
  void On(const RecordFailed& aEvent);
  void On(const StoreHealth& aEvent);
  void On(const PolicyChanged& aEvent);
  void On(const DrainBegan& aEvent);
  void On(const Tick& aEvent);
  void ServeDue(LiveRequest& aRequest);
  void OnDeadline(LiveRequest& aRequest);
  void ForgetOutcomes();
  std::chrono::milliseconds Age(const LiveRequest& aRequest) const;
  void Note(LiveRequest& aRequest, TrailEvent aEvent, std::string aDetail);

  // Calls of callers.
  void Submit(const Waiter& aWaiter, const protocol::RequestSpec& aSpec);
  bool Join(const Waiter& aWaiter, const protocol::RequestSpec& aSpec);
  void JoinLive(Waiter aWaiter, LiveRequest& aRequest, bool aWaits);
  void Accept(const Waiter& aWaiter, const protocol::RequestSpec& aSpec);
  void AskStatus(const Waiter& aWaiter, const protocol::StatusCall& aCall);
  void Cancel(const Waiter& aWaiter, const protocol::CancelCall& aCall);
  void CancelLive(const Waiter& aWaiter, LiveRequest& aRequest);
  std::optional<protocol::RequestStatus> UnknownStatus(
    const RequestId& aId) const;
  protocol::RequestStatus StatusOf(const LiveRequest& aRequest,
                                   bool aExplain) const;
  void AddWaiter(const Waiter& aWaiter, LiveRequest& aRequest);
  void Reply(const Waiter& aWaiter, protocol::RequestStatus aStatus);
  // Replies to the waiters of these kinds and drops them.
  void ReplyWaiters(LiveRequest& aRequest,
                    const std::vector<WaitFor>& aKinds,
                    const protocol::RequestStatus& aStatus);

  // Refusals; nothing when the request may be accepted.
  std::optional<protocol::RequestStatus> Refuse(
    const protocol::RequestSpec& aSpec);
  std::optional<protocol::RequestStatus> RefuseForState(
    const protocol::RequestSpec& aSpec) const;
  std::optional<protocol::RequestStatus> RefuseForPolicy(
    const protocol::RequestSpec& aSpec) const;
  std::optional<protocol::RequestStatus> RefuseForLoad(
    const protocol::RequestSpec& aSpec);
  const policy::WorkloadPolicy& PolicyOf(const WorkloadId& aWorkload) const;

  // Dispatch of tasks that are not out.
  void Dispatch(LiveRequest& aRequest);
  std::vector<Placement> PlanPlacements(LiveRequest& aRequest);
  bool IsSpread(const LiveRequest& aRequest) const;
  std::optional<ShardId> PickShard(const LiveRequest& aRequest,
                                   const TaskSlot& aFirst,
                                   std::uint32_t aCount);
  std::optional<Placement> Place(LiveRequest& aRequest,
                                 std::vector<std::uint32_t> aIndexes);
  static std::vector<DispatchedTask> BeginRecording(
    LiveRequest& aRequest,
    const std::vector<Placement>& aPlacements);
  void OnDispatchedDurable(LiveRequest& aRequest,
                           const std::vector<DispatchedTask>& aTasks);
  void SendPlacement(LiveRequest& aRequest, const Placement& aPlacement);
  protocol::PlaceTasks PlaceMessage(const LiveRequest& aRequest,
                                    const Placement& aPlacement);
  void PlanDispatchTime(LiveRequest& aRequest);
  std::uint32_t NextAttempt(TaskSlot& aSlot) const;
  void Resend(LiveRequest& aRequest);
  void SendCancels(LiveRequest& aRequest);
  void SendAck(const LiveRequest& aRequest, std::uint32_t aIndex);
  void SendAck(const protocol::TaskKey& aTask, ShardId aShard);
  protocol::Route NextRoute(ShardId aShard);
  template<typename Message>
  void Send(ShardId aShard, Message aMessage)
  {
    aMessage.mRoute = NextRoute(aShard);
    SendToPlacer sent{ .mShard = aShard, .mMessage = std::move(aMessage) };
    mActions.emplace_back(std::move(sent));
  }
  void ResendBy(LiveRequest& aRequest);

  // Gangs.
  void DispatchGang(LiveRequest& aRequest);
  void SendHoldPart(LiveRequest& aRequest);
  void OnAllHeld(LiveRequest& aRequest);
  void CommitHolds(LiveRequest& aRequest);
  void SendCommits(LiveRequest& aRequest);
  void ReleaseGang(LiveRequest& aRequest);
  void EndHold(LiveRequest& aRequest);
  bool RetryGang(LiveRequest& aRequest);

  // Updates of attempts.
  void OnUnknownUpdate(const protocol::TaskUpdate& aUpdate);
  void OnStaleUpdate(const LiveRequest& aRequest,
                     const protocol::TaskUpdate& aUpdate);
  void OnProgress(LiveRequest& aRequest, const protocol::TaskUpdate& aUpdate);
  void OnStarted(LiveRequest& aRequest);
  void EndAttempt(LiveRequest& aRequest, const protocol::TaskUpdate& aUpdate);
  bool WantsAnother(LiveRequest& aRequest,
                    const TaskSlot& aSlot,
                    const protocol::TaskUpdate& aUpdate);
  void PlanRetry(LiveRequest& aRequest,
                 std::uint32_t aIndex,
                 const protocol::TaskUpdate& aUpdate);
  void WithdrawSlots(LiveRequest& aRequest);
  static void CloseSlot(LiveRequest& aRequest,
                        TaskSlot& aSlot,
                        protocol::TaskState aState);
  Duration NextBackoff(LiveRequest& aRequest);
  bool NeverRunnableAnywhere(const LiveRequest& aRequest) const;

  // Outcomes.
  void FinishIfDone(LiveRequest& aRequest);
  protocol::RequestStatus FinalStatus(const LiveRequest& aRequest) const;
  void ReplyWithoutRecord(LiveRequest& aRequest);
  void OnFinishedDurable(LiveRequest& aRequest, std::uint64_t aSequence);

  // The journal.
  std::uint64_t Append(Record aRecord);
  void FlushRecords();
  void OnCommitted(const PendingRecord& aRecord);
  void OnAcceptedDurable(LiveRequest& aRequest,
                         const std::vector<DispatchedTask>& aTasks);
  void GiveUpUnwritten(PendingRecord& aRecord);
  void TellStoreIsAway(PendingRecord& aRecord);

  // Recovery.
  absl::Status Apply(const NumberedRecord& aRecord);
  absl::Status ApplyTo(LiveRequest& aRequest, const NumberedRecord& aRecord);
  bool ObserveEpoch(ShardId aShard, Epoch aEpoch);
  void TakeHeld(const protocol::HeldTask& aHeld, ShardId aShard, Epoch aEpoch);
  static void Adopt(TaskSlot& aSlot,
                    const protocol::HeldTask& aHeld,
                    ShardId aShard,
                    Epoch aEpoch);
  void SweepShard(ShardId aShard);
  void SweepRequest(LiveRequest& aRequest, ShardId aShard, Epoch aEpoch);
  void AskShards();
  void BecomeServing();
  void ResumeRequest(LiveRequest& aRequest);
  void AddOrphan(const protocol::TaskKey& aTask, ShardId aShard, Epoch aEpoch);

  CoordinatorOptions mOptions;
  std::mt19937_64 mRandom;
  TimePoint mNow;
  std::vector<CoordinatorAction> mActions;
  std::shared_ptr<const policy::CellPolicy> mPolicy;
  ShardRouter mRouter;
  Admission mAdmission;
  RequestTable mRequests;
  OutcomeStore mOutcomes;
  PendingRecords mPending;
  CallBook mCalls;
  Orphans mOrphans;
  std::unordered_map<WorkloadId, RetryBudget> mBudgets;
  // Of the last message to each shard.
  std::vector<std::uint64_t> mSequences;
  std::uint64_t mFirstSequence;
  std::uint32_t mGangHolds = 0;
  bool mBegun = false;
  bool mServing = false;
  bool mDraining = false;
  bool mStoreAvailable = true;
  // Set by a failed record, so that it is appended again with the next tick.
  bool mPauseRecords = false;
  bool mForgetting = false;
  TimePoint mAskShardsAt;
  TimePoint mForgetAt;
};

} // namespace oriolevane::coordination::internal
