// Handles the messages that coordinators send to a placer.
#pragma once

#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "placement/internal/admissioncheck.h"
#include "placement/internal/attemptlifecycle.h"
#include "placement/internal/gangplacer.h"
#include "placement/internal/taskqueue.h"

namespace oriolevane::placement {

// Drops messages of replaced coordinators and late or duplicate copies, admits
// new tasks to the queue and answers for the tasks that are known already.
class CoordinatorMessageHandler
{
public:
  CoordinatorMessageHandler(PlacerContext& aContext,
                            AttemptLifecycle& aLifecycle,
                            TaskQueue& aQueue,
                            GangPlacer& aGangs);

  void Handle(const protocol::PlaceTasks& aPlaceTasks);
  void Handle(const protocol::CommitHold& aCommit);
  void Handle(const protocol::CancelTasks& aCancel);
  void Handle(const protocol::UpdateAck& aAck);
  void Handle(const protocol::ReconcileQuery& aQuery);
  // Ends the recovery, once every worker is fenced or its leases have lapsed.
  // Unresolved attempts that were cancelled or first sent to an earlier owner
  // are ended as lost, because no inventory listed them; the others are
  // admitted. Pending queries get their complete answers.
  void FinishRecovery();
  // Ends all waiting and held tasks as not started, for a handover of the
  // shard.
  void ReturnWaitingTasks();
  // Ends the waiting tasks that no listed worker can run any more. To be called
  // when the capacities of the listed workers have changed.
  void RecheckFeasibility();
  // Removes the entries of held gangs whose attempts have all been erased.
  void RemoveUnusedHolds();
  std::chrono::milliseconds ExpectedWait() const
  {
    return mCheck.ExpectedWait();
  }

private:
  // The coordinator of a partition with the highest epoch seen so far.
  struct Sender
  {
    Epoch mEpoch;
    // The highest sequence number accepted. A message that is not above it is a
    // late or duplicate copy.
    std::uint64_t mSequence = 0;
  };
  using HoldKey = std::pair<RequestId, std::uint32_t>;

  // False when the message is for another shard, from a coordinator that was
  // replaced, or a late or duplicate copy.
  bool IsCurrent(const protocol::Route& aRoute);
  // True when no earlier owner of the shard can have started a task that was
  // first sent under this shard epoch.
  bool IsUnknownToEarlierOwners(Epoch aShardEpoch) const;
  std::shared_ptr<Batch> MakeBatch(const protocol::PlaceTasks& aPlaceTasks);
  void ReportKnownAttempt(AttemptIndex aIndex,
                          const std::shared_ptr<Batch>& aBatch);
  void AddNewAttempt(const protocol::TaskKey& aKey,
                     const std::shared_ptr<Batch>& aBatch);
  void Admit(Batch& aBatch);
  void Refuse(const Batch& aBatch, const Refusal& aRefusal);
  void CancelOne(const protocol::CancelTasks& aCancel,
                 const protocol::TaskKey& aKey);
  void CancelUntracked(const protocol::CancelTasks& aCancel,
                       const protocol::TaskKey& aKey);
  void SendUntrackedUpdate(const protocol::Route& aRoute,
                           const protocol::TaskKey& aKey,
                           const Tombstone& aTombstone);
  void SendReconcileAnswer(PartitionId aPartition,
                           std::uint64_t aQuerySequence);

  PlacerContext& mContext;
  AttemptLifecycle& mLifecycle;
  TaskQueue& mQueue;
  GangPlacer& mGangs;
  AdmissionCheck mCheck;
  std::map<PartitionId, Sender> mSenders;
  // The admitted batches that asked for a hold, by request and attempt.
  std::map<HoldKey, std::vector<std::weak_ptr<Batch>>> mHoldBatches;
  // Attempts that stay unresolved until the recovery ends.
  std::vector<AttemptRef> mUnresolvedAttempts;
  // Sequence numbers of the queries that got an incomplete answer, by
  // partition.
  std::map<PartitionId, std::uint64_t> mPendingQueries;
};

} // namespace oriolevane::placement
