// Takes the messages of coordinators.
#pragma once

#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "placement/internal/attemptlifecycle.h"
#include "placement/internal/gangplacer.h"
#include "placement/internal/intakecheck.h"
#include "placement/internal/taskqueue.h"

namespace oriolevane::placement {

class RequestIntake
{
public:
  RequestIntake(PlacerContext& aContext,
                AttemptLifecycle& aLifecycle,
                TaskQueue& aQueue,
                GangPlacer& aGangs);

  void Handle(const protocol::PlaceTasks& aOrder);
  void Handle(const protocol::CommitHold& aCommit);
  void Handle(const protocol::CancelTasks& aCancel);
  void Handle(const protocol::UpdateAck& aAck);
  void Handle(const protocol::ReconcileQuery& aQuery);
  // Every worker is fenced or its leases have lapsed: what no inventory listed
  // is over, and queries get their complete answers.
  void FinishRecovery();
  // Ends what waits or is held as not started: the shard is handed over.
  void GiveBackWaiting();
  // The kinds of workers changed: ends what could never run now.
  void RecheckSizes();
  // Drops holds whose batches are gone.
  void Tidy();
  std::chrono::milliseconds ExpectedWait() const
  {
    return mCheck.ExpectedWait();
  }

private:
  // The newest coordinator heard of a partition.
  struct Sender
  {
    Epoch mEpoch;
    // The highest sequence taken; a lower one is a late or doubled copy.
    std::uint64_t mSequence = 0;
  };
  using HoldKey = std::pair<RequestId, std::uint32_t>;

  // False when the message is from an owner that was replaced.
  bool IsCurrent(const protocol::Route& aRoute);
  // True when no earlier owner of the shard can have started it.
  bool IsSurelyFresh(Epoch aShardEpoch) const;
  std::shared_ptr<Batch> MakeBatch(const protocol::PlaceTasks& aOrder);
  void AnswerKnown(AttemptIndex aIndex, const std::shared_ptr<Batch>& aBatch);
  void AddFresh(const protocol::TaskKey& aKey,
                const std::shared_ptr<Batch>& aBatch);
  void Admit(Batch& aBatch);
  void Refuse(const Batch& aBatch, const Refusal& aRefusal);
  void CancelOne(const protocol::CancelTasks& aCancel,
                 const protocol::TaskKey& aKey);
  void CancelUnknown(const protocol::CancelTasks& aCancel,
                     const protocol::TaskKey& aKey);
  void SendUntracked(const protocol::Route& aRoute,
                     const protocol::TaskKey& aKey,
                     const Tombstone& aStone);
  void SendReconcileAnswer(PartitionId aPartition,
                           std::uint64_t aQuerySequence);

  PlacerContext& mContext;
  AttemptLifecycle& mLifecycle;
  TaskQueue& mQueue;
  GangPlacer& mGangs;
  IntakeCheck mCheck;
  std::map<PartitionId, Sender> mSenders;
  std::map<HoldKey, std::vector<std::weak_ptr<Batch>>> mHolds;
  // Attempts that wait for the end of the recovery.
  std::vector<AttemptRef> mUnsure;
  // Partitions whose query, of this sequence, got an incomplete answer.
  std::map<PartitionId, std::uint64_t> mUnanswered;
};

} // namespace oriolevane::placement
