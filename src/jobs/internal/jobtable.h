// The jobs of a shard: those in progress, and the final states of the others.
#pragma once

#include <map>
#include <optional>
#include <unordered_map>

#include "footprint/footprintbudget.h"
#include "jobs/internal/job.h"
#include "jobs/recordwritequeue.h"
#include "jobs/types/scheduleroptions.h"

namespace oriolevane::jobs {

// Holds the jobs of a shard and provides their records for the store.
class JobTable
{
public:
  JobTable(RecordWriteQueue& aWriteQueue,
           const footprint::FootprintLimits& aLimits)
    : mWriteQueue(aWriteQueue)
    , mBudget(aLimits)
  {
  }

  using JobMap = std::unordered_map<JobId, Job>;

  JobMap& Jobs() { return mJobs; }
  const JobMap& Jobs() const { return mJobs; }
  // Returns nullptr when the job is not in memory.
  Job* Find(const JobId& aId);
  // True when the open jobs stay within their limits with a new job.
  bool HasRoomFor(const JobSpec& aSpec) const;
  // What the open jobs take together.
  const footprint::FootprintBudget& Budget() const { return mBudget; }
  // Adds a job and queues its record. The job is opened once the record has
  // been written.
  Job& Add(JobRecord aRecord, const Moment& aNow);
  // Forgets a job whose record was never handed out for writing.
  void RemoveUnrecorded(const JobId& aId);
  // Restores the jobs from their records.
  void Recover(const CellRecords& aRecords, const Moment& aNow);
  // Queues the progress record that holds a task; for a member of a gang, those
  // that hold the gang.
  void MarkProgress(const TaskKey& aTask);
  // Queues the progress record that shows that an occurrence has finished.
  void MarkFinished(const JobId& aId, int aOccurrence);
  // Sets the final state of a job, whose runs may still have to be stopped.
  // Returns the position of the change.
  RecordPosition Close(Job& aJob, JobState aState, const Moment& aNow);
  // Sets the final state of a job that has not been submitted, so that it is
  // not accepted later. Returns the position of the change.
  RecordPosition CancelUnsubmitted(const JobId& aId,
                                   const TeamId& aTeam,
                                   const Moment& aNow);
  // Notes that a team has submitted a job after it cancelled it. Returns the
  // position of the change, or nothing when the team has not cancelled the job.
  std::optional<RecordPosition> SubmitCancelled(const JobId& aId,
                                                const TeamId& aTeam);
  // Removes closed jobs that have no more runs, and final states older than
  // aKeepFinished. Until aReconciled, a team's closed jobs stay whose runs may
  // not have been found yet.
  void Prune(const Moment& aNow,
             std::chrono::milliseconds aKeepFinished,
             bool aReconciled);
  // Returns nullptr when the job has no final state or has not been submitted.
  const FinishedRecord* FindFinished(const JobId& aId) const;
  // Returns the position of the change that records the final state, or nothing
  // when there is none or the job has not been submitted.
  std::optional<RecordPosition> FinalStatePosition(const JobId& aId) const;
  // Creates the occurrences that have become due, as far as the job's window
  // reaches.
  void OpenDueOccurrences(Job& aJob, const Moment& aNow);
  // Creates an occurrence of which a worker has reported a run.
  // It must have been due for an earlier owner, even if this node's time of day
  // is behind.
  void OpenReportedOccurrence(Job& aJob, int aNumber);
  // Records which occurrences have finished, and removes them once that is in
  // the store.
  void RecordFinishedOccurrences(Job& aJob);

  // The functions below return the current value of a record, or nothing when
  // the record has to be removed.
  std::optional<JobRecord> JobRecordOf(const JobId& aId) const;
  std::optional<ProgressRecord> ProgressRecordOf(
    const std::string& aName) const;
  std::optional<FinishedRecord> FinishedRecordOf(const JobId& aId) const;

private:
  // A final state and the position of the change that records it.
  struct FinishedEntry
  {
    FinishedRecord mRecord;
    RecordPosition mRecordPosition;
  };

  // Takes over a record, and sets what follows from its specification.
  void SetRecord(Job& aJob, JobRecord aRecord);
  void SetFinished(FinishedRecord aRecord, RecordPosition aPosition);
  void RecoverProgress(const ProgressRecord& aProgress);
  // Queues the records that tasks belong to which another record holds, as one
  // of an earlier release does.
  void MoveToOwnParts(const Job& aJob,
                      const ProgressRecord& aRecord,
                      const StepProgress& aStep);
  void MarkPart(const JobId& aId, int aOccurrence, int aPart);
  // Returns an occurrence, which is created if it is not there.
  static Occurrence& OpenOccurrence(Job& aJob, int aNumber);
  void RemoveOccurrencesBeforeWindow(Job& aJob);
  // Queues the removal of the progress records of an occurrence.
  void RemoveProgress(const Job& aJob, int aOccurrence);

  RecordWriteQueue& mWriteQueue;
  JobMap mJobs;
  footprint::FootprintBudget mBudget;
  std::unordered_map<JobId, FinishedEntry> mFinished;
  // Ids by the time of the final state, for pruning.
  std::multimap<std::chrono::milliseconds, JobId> mFinishedOrder;
};

} // namespace oriolevane::jobs
