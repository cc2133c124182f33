// Records that the platform's store holds, so that another node can take over a
// shard.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "crashes/taskcrashes.h"
#include "jobs/types/cellconfiguration.h"
#include "jobs/types/jobspec.h"
#include "jobs/types/jobstate.h"
#include "jobs/types/workerreport.h"

namespace oriolevane::jobs {

// An accepted job. The queue's policy is stored with it because the queue may
// be removed from the configuration before the job ends.
struct JobRecord
{
  JobId mId;
  QueuePolicy mQueue;
  JobSpec mSpec;
  // Unix time.
  std::chrono::milliseconds mAcceptedAt{ 0 };
  // The team whose key the caller presented; empty when it needed no key.
  TeamId mTeam;
  // The job arrived above its team's guaranteed rate, and so uses what other
  // teams leave.
  bool mBorrows = false;
  // All occurrences below this number have finished, and need no progress
  // records.
  int mFinishedBefore = 0;
};

// A run whose worker's lease expired, and of which it is not known yet whether
// the worker has crashed.
struct LostRunProgress
{
  RunNumber mRun;
  WorkerId mWorker;
  // The incarnation that had the run.
  WorkerIncarnation mIncarnation;
  // What a crash would show.
  crashes::CrashEvidence mEvidence = crashes::CrashEvidence::Inconclusive;
};

// The progress of one task.
struct TaskProgress
{
  int mIndex = 0;
  bool mSucceeded = false;
  std::set<RunNumber> mFailedRuns;
  // Highest run number so far.
  RunNumber mLastRun;
  // Latest checkpoint; empty for none.
  std::string mCheckpoint;
  // Runs that ended in a crash of the worker.
  std::map<RunNumber, crashes::Crash> mCrashes;
  std::vector<LostRunProgress> mLostRuns;
};

// The progress of one step.
struct StepProgress
{
  int mStep = 0;
  // Failed runs of a gang as a whole; empty for other steps.
  std::set<RunNumber> mFailedGangRuns;
  // Holds only tasks that have made progress or failed.
  std::vector<TaskProgress> mTasks;
};

// The progress of some tasks of one occurrence of a job. Together they would
// not fit into one row of the store.
struct ProgressRecord
{
  JobId mJob;
  int mOccurrence = 0;
  // Number of the part of the tasks.
  int mPart = 0;
  bool mFinished = false;
  std::vector<StepProgress> mSteps;
};

// The final state of a job, kept so that callers can query it.
struct FinishedRecord
{
  JobId mId;
  JobState mState = JobState::Completed;
  // Unix time.
  std::chrono::milliseconds mFinishedAt{ 0 };
  // As in JobRecord.
  TeamId mTeam;
  // False for a job that was cancelled before it was submitted. It is not shown
  // to callers, and is not accepted if its submission still arrives.
  bool mSubmitted = true;
};

// A worker that tasks may have been assigned to.
struct WorkerRecord
{
  WorkerId mId;
  std::string mAddress;
  PoolName mPool;
  // The largest amounts that the worker's capacity has had, which bound what
  // may run there. Nothing in records of releases before it was recorded.
  std::optional<Resources> mMaxCapacity;
  // The process of the worker whose lease no order that was meant for an
  // earlier process can have extended. While it is empty, the lease may be the
  // longest one that a worker accepts.
  WorkerIncarnation mSettledIncarnation;
};

// All records of a shard, as read by a node that takes it over.
struct CellRecords
{
  std::vector<JobRecord> mJobs;
  std::vector<ProgressRecord> mProgress;
  std::vector<FinishedRecord> mFinished;
  std::vector<WorkerRecord> mWorkers;
};

} // namespace oriolevane::jobs
