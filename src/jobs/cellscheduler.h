// Scheduler for the jobs of one shard. It is deterministic and has no threads,
// sockets or clock: the caller passes the time to each call, and orders to
// workers go out through hooks.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jobs/recordwritequeue.h"
#include "jobs/types/cellconfiguration.h"
#include "jobs/types/entrywaits.h"
#include "jobs/types/isolationwaits.h"
#include "jobs/types/jobrecord.h"
#include "jobs/types/longrunningwaits.h"
#include "jobs/types/orders.h"
#include "jobs/types/runends.h"
#include "jobs/types/scheduleroptions.h"
#include "jobs/types/teamcounts.h"
#include "jobs/types/workertrials.h"

namespace oriolevane::jobs {

// The value to store under a record key; std::monostate removes the record.
using RecordValue = std::variant<std::monostate,
                                 JobRecord,
                                 ProgressRecord,
                                 FinishedRecord,
                                 WorkerRecord>;

// The state of a job that may be shown to callers.
struct JobView
{
  JobState mState = JobState::Queued;
  // True once the store holds the record of the accepted job.
  bool mRecorded = false;
  // The team that the job belongs to; empty for none.
  TeamId mTeam;
};

// A job to be accepted.
struct Submission
{
  JobId mId;
  QueuePolicy mQueue;
  JobSpec mSpec;
  // The team of the caller's key; empty when none was needed.
  TeamId mTeam;
};

// Gauges for metrics.
struct SchedulerCounts
{
  // Jobs that are still in memory, including closed ones whose runs are being
  // stopped.
  std::size_t mOpenJobs = 0;
  // What they take, by estimate, and what they may take.
  footprint::JobFootprint mFootprint;
  footprint::FootprintLimits mFootprintLimits;
  // Runs that occupy capacity on workers.
  std::size_t mRuns = 0;
  // Those of which it is not known whether they have started or ended.
  std::size_t mUncertainRuns = 0;
  // Workers in the registry.
  std::size_t mWorkers = 0;
  // Workers that answered their last poll.
  std::size_t mReachableWorkers = 0;
  // The longest time for which a step has waited for answers of the policy
  // service.
  Duration mLongestAdviceWait{};
  LongRunningWaits mLongRunningWaits;
  WorkerTrials mWorkerTrials;
  EntryWaits mEntryWaits;
  IsolationWaits mIsolationWaits;
  // The teams of the configuration.
  std::vector<TeamCounts> mTeams;
};

// Accepts jobs, places their tasks on workers and tracks their progress.
class CellScheduler
{
public:
  CellScheduler(const SchedulerOptions& aOptions, SchedulerHooks aHooks);
  ~CellScheduler();

  // Restores the state that an earlier owner of the shard stored. Must be
  // called before any other function but Configure(). What the configuration
  // says of a queue overrules the records.
  void Recover(const CellRecords& aRecords, const Moment& aNow);
  // Tells the scheduler that the earlier owner has stopped. It can start no
  // tasks and renew no leases any more, so the wait for the leases that it
  // granted becomes shorter. aRunEnds is what it knew of workers that did not
  // answer it, so that the wait for them does not begin again; empty once this
  // owner has called workers.
  void OnPredecessorGone(const Moment& aNow, const RunEnds& aRunEnds);
  // By when the runs have ended on workers that do not answer, for the next
  // owner.
  RunEnds SilentWorkersRunEnds(TimePoint aNow) const;
  // Replaces the configuration. The jobs in memory take over changes to their
  // queue. Until this is called for the first time, nothing is started and no
  // job ends, as recorded policies may be outdated.
  void Configure(CellConfiguration aConfiguration, const Moment& aNow);
  const CellConfiguration& Configuration() const;
  // Notes that this node owned the shard at aProvenAt. Leases are renewed and
  // tasks started only until aEnd.
  void ProveOwnership(TimePoint aProvenAt, TimePoint aEnd);
  // Ends this node's ownership for good: no order that starts a task or extends
  // a lease is sent any more, whatever ProveOwnership() is told later. A
  // successor may already count the leases as ending.
  void EndOwnership();
  // True when all runs that earlier owners started are known or have lost their
  // leases.
  bool IsRecovered() const;

  // Sets the number of hosts that can query the policy service at the same
  // time; 1 until it is set.
  void SetQueryHosts(std::size_t aHosts);

  // Returns why a job must be refused on account of its team, or nothing when
  // it can be submitted. To be called once before Submit(), with the same time;
  // each refusal is counted. A job that is known already is not refused.
  std::optional<Refusal> RefusalFor(const Submission& aSubmission,
                                    const Moment& aNow);
  // Returns false when the open jobs would exceed their limits with this one. A
  // job that is known already always has room.
  bool HasRoomFor(const Submission& aSubmission) const;
  // Submits a job. It is accepted once the change at the returned position has
  // been recorded. If the id is already known, the existing job is kept.
  RecordPosition Submit(Submission aSubmission, const Moment& aNow);
  // Removes a submitted job whose record has not been handed out for writing
  // yet, so that it is never accepted. Returns false when it is too late.
  bool Withdraw(const JobId& aId);
  // Cancels a job. The cancellation takes effect once the change at the
  // returned position has been recorded. Returns nothing when the job is not
  // known.
  std::optional<RecordPosition> Cancel(const JobId& aId, const Moment& aNow);
  // Cancels a job that is not known, in case its submission is delayed: it is
  // not run if the team submits it later. The caller may be told that there is
  // no such job once the change at the returned position has been recorded.
  RecordPosition CancelUnsubmitted(const JobId& aId,
                                   const TeamId& aTeam,
                                   const Moment& aNow);
  // Returns nothing when the job is not known.
  std::optional<JobView> Find(const JobId& aId) const;
  // Returns the number of accepted jobs of a queue that have not started yet.
  std::size_t Waiting(const QueueName& aQueue) const;

  // Adds or updates a worker that is in the registry.
  void RegisterWorker(const WorkerEntry& aEntry, const Moment& aNow);
  // Notes that a worker has left the registry.
  void UnregisterWorker(const WorkerId& aId, const Moment& aNow);
  // The number of workers, including those that have left the registry and may
  // still have runs.
  std::size_t WorkerCount() const;

  // Processes the answer to a poll that was sent at aSentAt.
  void OnPollAnswer(const PollOrder& aPoll,
                    TimePoint aSentAt,
                    const PollAnswer& aAnswer,
                    const Moment& aNow);
  // Processes the answer to a start order.
  void OnStartAnswer(const StartOrder& aOrder,
                     const OrderAnswer& aAnswer,
                     const Moment& aNow);
  // Processes the answer to a stop order.
  void OnStopAnswer(const StopOrder& aOrder,
                    const OrderAnswer& aAnswer,
                    const Moment& aNow);
  // Returns the query to send in place of one that has waited, as other workers
  // may have room by now. Returns nothing when its answer is not needed any
  // more; it must then be reported back as unanswered.
  std::optional<AdviceQuery> UpdatedQuery(const AdviceQuery& aQuery,
                                          const Moment& aNow);
  // Compares the queries that steps wait for with those that are pending. A
  // step that waits for more may be asked about again. Returns how many queries
  // were lost.
  std::size_t CheckPendingQueries(const QueryCounts& aPending,
                                  const Moment& aNow);
  // Processes the policy service's answer to an advice query.
  void OnAdvice(const AdviceAnswer& aAnswer, const Moment& aNow);

  // Returns the queue of changed records. The caller takes batches from it,
  // writes them to the store and confirms them.
  RecordWriteQueue& Records();
  // Returns the value to write for a record.
  RecordValue ValueOf(const RecordKey& aKey) const;
  // Tells the scheduler that all changes up to a position are in the store.
  void OnRecorded(RecordPosition aPosition, const Moment& aNow);

  // Sends the starts, stops, polls and advice queries that are due.
  void Advance(const Moment& aNow);
  SchedulerCounts Counts() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace oriolevane::jobs
