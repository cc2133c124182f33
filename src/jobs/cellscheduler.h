// Schedules the jobs of one shard on its workers. Deterministic: it has no
// threads, sockets or clock; calls come in with the time, orders go out through
// hooks.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jobs/recordlog.h"
#include "jobs/types/cellconfiguration.h"
#include "jobs/types/jobrecord.h"
#include "jobs/types/orders.h"
#include "jobs/types/scheduleroptions.h"

namespace oriolevane::jobs {

// What to write under a key; nothing to remove it.
using RecordValue = std::variant<std::monostate,
                                 JobRecord,
                                 ProgressRecord,
                                 FinishedRecord,
                                 WorkerRecord>;

// A job as a caller may see it.
struct JobView
{
  JobState mState = JobState::Queued;
  // The acceptance has been recorded.
  bool mRecorded = false;
};

struct SchedulerCounts
{
  std::size_t mOpenJobs = 0;
  std::size_t mRuns = 0;
  std::size_t mWorkers = 0;
  std::size_t mReachableWorkers = 0;
};

class CellScheduler
{
public:
  CellScheduler(const SchedulerOptions& aOptions, SchedulerHooks aHooks);
  ~CellScheduler();

  // Takes over from an earlier owner. Call before anything else.
  void Recover(const CellRecords& aRecords, const Moment& aNow);
  // The earlier owner is known to have stopped, so that it renews no leases.
  void OnPredecessorGone(const Moment& aNow);
  void Configure(CellConfiguration aConfiguration);
  const CellConfiguration& Configuration() const;
  // Until when leases may be renewed and tasks started.
  void SetAuthority(TimePoint aUntil);

  // Accepts a job, once the change has been recorded. A known id keeps its job.
  RecordPosition Submit(const JobId& aId,
                        const QueuePolicy& aQueue,
                        JobSpec aSpec,
                        const Moment& aNow);
  // Gives up a submission of which no record has been given out, so that it has
  // never been accepted and never will; false when it is too late for that.
  bool Withdraw(const JobId& aId);
  // Nothing when the job is not known. The cancelling is in force once the
  // change has been recorded.
  std::optional<RecordPosition> Cancel(const JobId& aId, const Moment& aNow);
  std::optional<JobView> Find(const JobId& aId) const;
  // Accepted jobs of a queue of which nothing has started.
  std::size_t Waiting(const QueueName& aQueue) const;

  void ListWorker(const WorkerEntry& aEntry, const Moment& aNow);
  void UnlistWorker(const WorkerId& aId, const Moment& aNow);
  // Ids of the workers that stand in the registry.
  std::vector<WorkerId> ListedWorkers() const;

  void OnPollAnswer(const PollOrder& aPoll,
                    TimePoint aSentAt,
                    const PollAnswer& aAnswer,
                    const Moment& aNow);
  void OnStartAnswer(const StartOrder& aOrder,
                     const OrderAnswer& aAnswer,
                     const Moment& aNow);
  void OnStopAnswer(const StopOrder& aOrder,
                    const OrderAnswer& aAnswer,
                    const Moment& aNow);
  void OnAdvice(const AdviceAnswer& aAnswer, const Moment& aNow);

  // The records that have changed; the caller writes them and confirms.
  RecordLog& Records();
  RecordValue ValueOf(const RecordKey& aKey) const;
  void OnRecorded(RecordPosition aPosition, const Moment& aNow);

  // Sends what is due: starts, stops, polls, queries.
  void Advance(const Moment& aNow);
  SchedulerCounts Counts() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace oriolevane::jobs
