// What is kept of jobs in the platform's store, so that another node can go on.
#pragma once

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "jobs/types/cellconfiguration.h"
#include "jobs/types/jobspec.h"
#include "jobs/types/jobstate.h"

namespace oriolevane::jobs {

// An accepted job. The queue's policy is kept with it, as the queue may leave
// the configuration before the job ends.
struct JobRecord
{
  JobId mId;
  QueuePolicy mQueue;
  JobSpec mSpec;
  // Unix time.
  std::chrono::milliseconds mAcceptedAt{ 0 };
};

struct TaskProgress
{
  int mIndex = 0;
  bool mSucceeded = false;
  std::set<RunNumber> mFailedRuns;
  RunNumber mLastRun;
  std::string mCheckpoint;
};

struct StepProgress
{
  int mStep = 0;
  // Of a gang as a whole.
  std::set<RunNumber> mFailedGangRuns;
  // Only of tasks of which anything is known.
  std::vector<TaskProgress> mTasks;
};

// How far one occurrence of a job is.
struct ProgressRecord
{
  JobId mJob;
  int mOccurrence = 0;
  bool mFinished = false;
  std::vector<StepProgress> mSteps;
};

// The final state of a job, kept for callers that ask for it.
struct FinishedRecord
{
  JobId mId;
  JobState mState = JobState::Completed;
  // Unix time.
  std::chrono::milliseconds mFinishedAt{ 0 };
};

// A worker that may have been given tasks.
struct WorkerRecord
{
  WorkerId mId;
  std::string mAddress;
  PoolName mPool;
};

// All that is kept, as read by a node that takes over.
struct CellRecords
{
  std::vector<JobRecord> mJobs;
  std::vector<ProgressRecord> mProgress;
  std::vector<FinishedRecord> mFinished;
  std::vector<WorkerRecord> mWorkers;
};

} // namespace oriolevane::jobs
