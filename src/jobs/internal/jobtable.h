// All jobs of a shard: those that are open, and the final states of the others.
#pragma once

#include <map>
#include <optional>
#include <unordered_map>

#include "jobs/internal/job.h"
#include "jobs/recordlog.h"
#include "jobs/types/scheduleroptions.h"

namespace oriolevane::jobs {

class JobTable
{
public:
  explicit JobTable(RecordLog& aLog)
    : mLog(aLog)
  {
  }

  using JobMap = std::unordered_map<JobId, Job>;

  JobMap& Jobs() { return mJobs; }
  const JobMap& Jobs() const { return mJobs; }
  Job* Find(const JobId& aId);
  // Adds a job that is open once it has been recorded.
  Job& Add(JobRecord aRecord, const Moment& aNow);
  // Takes over jobs from records.
  void Recover(const CellRecords& aRecords, const Moment& aNow);
  void MarkProgress(const StepKey& aStep);
  // Gives the job its final state; its runs may still be stopping.
  RecordPosition Close(Job& aJob, JobState aState, const Moment& aNow);
  // Forgets closed jobs without runs, and old final states.
  void Prune(const Moment& aNow, std::chrono::milliseconds aKeepFinished);
  // Nothing while the job is open or when it is not known.
  const FinishedRecord* FindFinished(const JobId& aId) const;
  // Nothing when there is no final state, else the change that recorded it.
  std::optional<RecordPosition> FinishedBy(const JobId& aId) const;
  // Creates the occurrences that are due.
  void OpenDueOccurrences(Job& aJob, const Moment& aNow);

  // Nothing when the record is to be removed.
  std::optional<JobRecord> JobRecordOf(const JobId& aId) const;
  std::optional<ProgressRecord> ProgressRecordOf(
    const std::string& aName) const;
  std::optional<FinishedRecord> FinishedRecordOf(const JobId& aId) const;

private:
  struct FinishedEntry
  {
    FinishedRecord mRecord;
    RecordPosition mRecordedBy;
  };

  void RecoverProgress(const ProgressRecord& aProgress);

  RecordLog& mLog;
  JobMap mJobs;
  std::unordered_map<JobId, FinishedEntry> mFinished;
  // By the time of the final state, for pruning.
  std::multimap<std::chrono::milliseconds, JobId> mFinishedOrder;
};

} // namespace oriolevane::jobs
