// Implements the decisions of a Coordinator. The member functions are grouped
// by topic in the engine*.cpp files.
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
#include "coordination/internal/liverequest.h"
#include "coordination/internal/orphantable.h"
#include "coordination/internal/outcomestore.h"
#include "coordination/internal/pendingrecords.h"
#include "coordination/internal/records.h"
#include "coordination/internal/requesttable.h"
#include "coordination/internal/retrybudget.h"
#include "coordination/internal/shardrouter.h"
#include "coordination/internal/unansweredcalls.h"
#include "coordination/types/coordinatoraction.h"
#include "coordination/types/coordinatorevent.h"
#include "coordination/types/coordinatoroptions.h"
#include "policy/types/cellpolicy.h"

namespace oriolevane::coordination::internal {

// Lists the tasks of one request that go to one shard in one message.
struct Placement
{
  ShardId mShard;
  std::uint32_t mAttempt = 0;
  std::vector<std::uint32_t> mIndexes;
};

// Holds the state of one request partition and turns each event into actions.
// The public functions have the contracts of the same functions of Coordinator.
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
  std::uint64_t CommittedSequence() const
  {
    return mPendingRecords.Committed();
  }
  bool IsServing() const { return mServing; }
  bool IsIdle() const;
  // Returns the number of requests without a recorded outcome.
  std::size_t LiveRequestCount() const { return mRequests.Size(); }
  // Returns the number of records that are not durable yet.
  std::size_t PendingRecordCount() const { return mPendingRecords.Size(); }

private:
  // Handlers of events, one for each type, and of the timers of requests.
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
  void RunTimers(LiveRequest& aRequest);
  void OnDeadline(LiveRequest& aRequest);
  void ForgetOutcomes();
  std::chrono::milliseconds Age(const LiveRequest& aRequest) const;
  void AddTrailEntry(LiveRequest& aRequest,
                     TrailEvent aEvent,
                     std::string aDetail);

  // Calls of callers (enginecalls.cpp).
  void Submit(const Waiter& aWaiter, const protocol::RequestSpec& aSpec);
  bool HandleDuplicate(const Waiter& aWaiter,
                       const protocol::RequestSpec& aSpec);
  void HandleLiveDuplicate(Waiter aWaiter, LiveRequest& aRequest, bool aWaits);
  void Accept(const Waiter& aWaiter, const protocol::RequestSpec& aSpec);
  void HandleStatusCall(const Waiter& aWaiter,
                        const protocol::StatusCall& aCall);
  void Cancel(const Waiter& aWaiter, const protocol::CancelCall& aCall);
  void CancelLive(const Waiter& aWaiter, LiveRequest& aRequest);
  std::optional<protocol::RequestStatus> StatusOfUnknownId(
    const RequestId& aId) const;
  protocol::RequestStatus StatusOf(const LiveRequest& aRequest,
                                   bool aExplain) const;
  void AddWaiter(const Waiter& aWaiter, LiveRequest& aRequest);
  void Reply(const Waiter& aWaiter, protocol::RequestStatus aStatus);
  // Replies to the waiters of these kinds and removes them from the request.
  void ReplyWaiters(LiveRequest& aRequest,
                    const std::vector<WaitFor>& aKinds,
                    const protocol::RequestStatus& aStatus);

  // Admission checks (enginerefusals.cpp). They return the refusal, or nothing
  // when the request may be accepted.
  std::optional<protocol::RequestStatus> Refuse(
    const protocol::RequestSpec& aSpec);
  std::optional<protocol::RequestStatus> RefuseForState(
    const protocol::RequestSpec& aSpec) const;
  std::optional<protocol::RequestStatus> RefuseForPolicy(
    const protocol::RequestSpec& aSpec) const;
  std::optional<protocol::RequestStatus> RefuseForLoad(
    const protocol::RequestSpec& aSpec);
  const policy::WorkloadPolicy& PolicyOf(const WorkloadId& aWorkload) const;

  // Dispatch of waiting tasks to shards, and resends (enginedispatch.cpp).
  void Dispatch(LiveRequest& aRequest);
  std::vector<Placement> PlanPlacements(LiveRequest& aRequest);
  bool IsSpread(const LiveRequest& aRequest) const;
  std::optional<ShardId> PickShard(const LiveRequest& aRequest,
                                   const TaskSlot& aFirst,
                                   std::uint32_t aCount);
  std::optional<Placement> AssignToShard(LiveRequest& aRequest,
                                         std::vector<std::uint32_t> aIndexes);
  static std::vector<DispatchedTask> BeginRecording(
    LiveRequest& aRequest,
    const std::vector<Placement>& aPlacements);
  void OnDispatchedDurable(LiveRequest& aRequest,
                           const std::vector<DispatchedTask>& aTasks);
  void SendPlacement(LiveRequest& aRequest, const Placement& aPlacement);
  protocol::PlaceTasks PlaceMessage(const LiveRequest& aRequest,
                                    const Placement& aPlacement);
  void ScheduleDispatch(LiveRequest& aRequest);
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
    SendToPlacer action{ .mShard = aShard, .mMessage = std::move(aMessage) };
    mActions.emplace_back(std::move(action));
  }
  void ScheduleResend(LiveRequest& aRequest);

  // Gangs: requests whose tasks start together (enginegangs.cpp).
  void DispatchGang(LiveRequest& aRequest);
  void SendNextHold(LiveRequest& aRequest);
  void OnAllHeld(LiveRequest& aRequest);
  void CommitHolds(LiveRequest& aRequest);
  void SendCommits(LiveRequest& aRequest);
  void ReleaseGang(LiveRequest& aRequest);
  void EndHold(LiveRequest& aRequest);
  bool RetryGang(LiveRequest& aRequest);

  // Placers' updates on attempts, and retries (engineupdates.cpp).
  void OnUnknownRequestUpdate(const protocol::TaskUpdate& aUpdate);
  void OnStaleUpdate(const LiveRequest& aRequest,
                     const protocol::TaskUpdate& aUpdate);
  void OnProgress(LiveRequest& aRequest, const protocol::TaskUpdate& aUpdate);
  void OnStarted(LiveRequest& aRequest);
  void EndAttempt(LiveRequest& aRequest, const protocol::TaskUpdate& aUpdate);
  bool ShouldRetry(LiveRequest& aRequest,
                   const TaskSlot& aSlot,
                   const protocol::TaskUpdate& aUpdate);
  void ScheduleRetry(LiveRequest& aRequest,
                     std::uint32_t aIndex,
                     const protocol::TaskUpdate& aUpdate);
  void CancelOpenTasks(LiveRequest& aRequest);
  static void MarkSlotDone(LiveRequest& aRequest,
                           TaskSlot& aSlot,
                           protocol::TaskState aState);
  Duration NextBackoff(LiveRequest& aRequest);
  bool IsNeverRunnable(const LiveRequest& aRequest) const;

  // Final outcomes of requests (engineoutcomes.cpp).
  void FinishIfDone(LiveRequest& aRequest);
  protocol::RequestStatus FinalStatus(const LiveRequest& aRequest) const;
  void ReplyWithoutRecord(LiveRequest& aRequest);
  void OnFinishedDurable(LiveRequest& aRequest, std::uint64_t aSequence);

  // Writing of records to the journal (enginejournal.cpp).
  std::uint64_t Append(Record aRecord);
  void FlushRecords();
  void OnCommitted(const PendingRecord& aRecord);
  void OnAcceptedDurable(LiveRequest& aRequest,
                         const std::vector<DispatchedTask>& aTasks);
  void AbandonUnwrittenRequest(PendingRecord& aRecord);
  void ReplyStoreUnavailable(PendingRecord& aRecord);

  // Replay of the journal (enginereplay.cpp) and reconciliation with the
  // placers (enginerecovery.cpp).
  absl::Status Apply(const NumberedRecord& aRecord);
  absl::Status ApplyTo(LiveRequest& aRequest, const NumberedRecord& aRecord);
  bool ObserveEpoch(ShardId aShard, Epoch aEpoch);
  void ReconcileHeldTask(const protocol::HeldTask& aHeld,
                         ShardId aShard,
                         Epoch aEpoch);
  static void AdoptAttempt(TaskSlot& aSlot,
                           const protocol::HeldTask& aHeld,
                           ShardId aShard,
                           Epoch aEpoch);
  void EndUnlistedAttempts(ShardId aShard);
  void EndUnlistedAttempts(LiveRequest& aRequest, ShardId aShard, Epoch aEpoch);
  void SendReconcileQueries();
  void CompleteRecovery();
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
  PendingRecords mPendingRecords;
  UnansweredCalls mCalls;
  OrphanTable mOrphans;
  std::unordered_map<WorkloadId, RetryBudget> mRetryBudgets;
  // The sequence number of the last message to each shard.
  std::vector<std::uint64_t> mShardSequences;
  // Sequence numbers of this epoch are above this value, those of earlier
  // epochs are not.
  std::uint64_t mFirstSequence;
  // The number of gangs that hold capacity in several shards.
  std::uint32_t mGangHolds = 0;
  bool mRecoveryStarted = false;
  // True once every shard has listed the attempts that it holds.
  bool mServing = false;
  bool mDraining = false;
  bool mStoreAvailable = true;
  // Set when an append fails: the record is appended again at the next tick.
  bool mAppendsPaused = false;
  // True while a Forgotten record is not durable.
  bool mForgetRecordPending = false;
  TimePoint mReconcileQueriesAt;
  TimePoint mNextForgetAt;
};

} // namespace oriolevane::coordination::internal
