// The workers of a shard, with their leases, fencing tokens and polls.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "jobs/internal/ownership.h"
#include "jobs/internal/worker.h"
#include "jobs/recordwritequeue.h"
#include "jobs/types/runends.h"
#include "jobs/types/scheduleroptions.h"

namespace oriolevane::jobs {

// Tracks the workers of a shard, grants their leases and schedules their polls.
class Fleet
{
public:
  Fleet(const SchedulerOptions& aOptions,
        const Ownership& aOwnership,
        RecordWriteQueue& aWriteQueue)
    : mOptions(aOptions)
    , mOwnership(aOwnership)
    , mWriteQueue(aWriteQueue)
  {
  }

  using WorkerMap = std::map<WorkerId, Worker>;

  WorkerMap& Workers() { return mWorkers; }
  const WorkerMap& Workers() const { return mWorkers; }
  // Returns nullptr when the worker is not known.
  Worker* Find(const WorkerId& aId);

  // Restores the workers that an earlier owner may have started tasks on.
  void Recover(const std::vector<WorkerRecord>& aRecords, TimePoint aNow);
  // Notes that the earlier owner sends nothing any more, so that the leases
  // that it granted end sooner.
  void EndPredecessor(TimePoint aNow, const RunEnds& aRunEnds);
  // By when the runs have ended on workers that do not answer.
  RunEnds SilentWorkersRunEnds(TimePoint aNow) const;
  // Adds or updates a worker of the registry. Returns true when the entry is of
  // a new incarnation; the caller counts the crash of the earlier one.
  bool Register(const WorkerEntry& aEntry, TimePoint aNow);
  // Notes that a worker has left the registry.
  void Unregister(const WorkerId& aId, TimePoint aNow);
  // Resets what is known of a worker when a new incarnation uses its id. Its
  // runs become uncertain.
  void BeginIncarnation(Worker& aWorker,
                        WorkerIncarnation aIncarnation,
                        TimePoint aNow);

  // Notes that a worker has answered a poll with its reconciling token or a
  // later one.
  void OnEarlierOrdersRefused(Worker& aWorker, TimePoint aNow);
  // Raises the fencing token and requests a poll, after which the worker
  // refuses all earlier orders.
  void RaiseToken(Worker& aWorker);
  // Stores a reading of the worker's clock. One that does not fit the reading
  // before it shows a restart that is not known yet.
  void ReadClock(Worker& aWorker, WorkerTime aTime, TimePoint aNow);
  // Returns the lease end to send now, by the worker's clock, and extends the
  // worker's lease accordingly. Returns nothing when the worker's clock is not
  // known or this node must not renew leases any more.
  std::optional<WorkerTime> GrantLease(Worker& aWorker, TimePoint aNow);
  // Sends the polls that are due.
  void SendDuePolls(TimePoint aNow,
                    const std::function<void(const PollOrder&)>& aSend);
  // Notes that all changes up to a position are in the store.
  void OnRecorded(RecordPosition aPosition);
  // True when all runs that other owners, or orders to former processes, may
  // have started under the worker's id are known or have ended.
  bool KnowsAllRunsOf(const Worker& aWorker) const;
  // True when all runs that the earlier owner started are known or have ended.
  bool IsReconciled() const;
  // Removes workers that have left the registry, do not answer and have no
  // runs. Calls aOnRemoved for each before it is removed.
  void Prune(TimePoint aNow, const std::function<void(Worker&)>& aOnRemoved);
  // Notes that a worker may accept tasks that it could not accept before.
  void NoteCapacityGain(Worker& aWorker)
  {
    aWorker.mGainGeneration = ++mCapacityGeneration;
  }
  // Number of calls of NoteCapacityGain(). Tasks that could not be placed are
  // tried again only after it has increased.
  std::uint64_t CapacityGeneration() const { return mCapacityGeneration; }

  // Returns nothing when the record has to be removed.
  std::optional<WorkerRecord> RecordOf(const WorkerId& aId) const;

private:
  // Notes when a draining worker leaves, from its new registry entry.
  static void UpdateDeparture(Worker& aWorker, TimePoint aNow);
  // Raises the recorded largest amounts to the worker's present capacity.
  // Returns true when they have changed.
  static bool RaiseMaxCapacity(Worker& aWorker);
  void MarkRecord(Worker& aWorker);
  // Writes the worker's record. The worker gets no tasks until it is written.
  void RecordBeforeStarts(Worker& aWorker);
  // Records that the worker's lease is settled, if it has become so. Returns
  // true when it has.
  bool SettleLease(Worker& aWorker, TimePoint aNow);
  void UpdateRecoveredRunsEnd();
  // True when a worker of this id has been removed lately, so that orders to it
  // may still be on their way.
  bool WasRemovedLately(const WorkerId& aId, TimePoint aNow) const;
  // Adds the largest amounts to the record of an earlier release.
  void CompleteRecord(Worker& aWorker);
  // Removes the record of a worker that has no tasks and gets no more, since
  // the next owner need not know of it.
  void RetireIfIdle(Worker& aWorker);
  // Sends a long poll if aWait is above 0, otherwise a short one.
  void SendPoll(Worker& aWorker,
                TimePoint aNow,
                std::chrono::milliseconds aWait,
                const std::function<void(const PollOrder&)>& aSend);

  const SchedulerOptions& mOptions;
  const Ownership& mOwnership;
  RecordWriteQueue& mWriteQueue;
  WorkerMap mWorkers;
  // When workers were removed; for the last kRemovalMemory only.
  std::map<WorkerId, TimePoint> mRemovedAt;
  // By when all runs of the earlier owner have ended on the workers whose runs
  // were not all known when this was computed.
  TimePoint mRecoveredRunsEnd;
  // Increases whenever a worker gains free capacity or becomes usable.
  std::uint64_t mCapacityGeneration = 0;
};

} // namespace oriolevane::jobs
