// The specification of a job, as a caller submits it.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "framework/types/resources.h"

namespace oriolevane::jobs {

// A step consists of identical tasks. They can start once all tasks of the
// steps that it depends on have succeeded.
struct StepSpec
{
  int mTaskCount = 0;
  // Resources that each task needs.
  Resources mResources;
  // The caller's estimate of a task's run time.
  std::chrono::milliseconds mEstimate{ 0 };
  // Indexes of the steps that must have succeeded before this one starts.
  std::vector<int> mAfter;
  // The tasks save checkpoints from which a later run can resume.
  bool mCheckpointing = false;
  // Gang scheduling: the tasks only run all at once, and succeed together.
  bool mGang = false;
  // The tasks run slower when spread over several racks.
  bool mRackSensitive = false;
  // A label that the worker must have; empty for none.
  std::string mRequiredLabel;
  // The rack that holds the input data; the tasks run slower on other racks.
  // Empty for none.
  std::string mDataRack;
  // Maximum number of the tasks on one worker at a time; 0 for no limit.
  int mMaxPerWorker = 0;
  // Speculative execution: several copies of a task may run at once, and the
  // first one to succeed counts.
  bool mSpeculative = false;
  // The tasks run until the job is cancelled, and are restarted whenever they
  // end.
  bool mLongRunning = false;
  // Name of the tasks' image; tasks with the same image behave alike.
  std::string mImage;
  // Target for the tail latency of a task that serves requests; 0 for none.
  std::chrono::milliseconds mTailLatencyTarget{ 0 };
  // The tasks run on processor time that other tasks leave unused, so the
  // processors that they request need not be reserved.
  bool mUsesSpareProcessors = false;
  // Number of tasks of a long-running step that the scheduler may stop at the
  // same time.
  int mTolerableMisses = 0;
};

// The schedule of a job that runs several times.
struct Repetition
{
  int mCount = 0;
  // Due time of the first occurrence, as Unix time.
  std::chrono::milliseconds mFirstDue{ 0 };
  std::chrono::milliseconds mInterval{ 0 };

  // Due time of an occurrence, as Unix time.
  std::chrono::milliseconds DueAt(int aNumber) const
  {
    return mFirstDue + aNumber * mInterval;
  }
};

// A job is a graph of steps, run once or repeatedly.
struct JobSpec
{
  // Opaque data that is passed to every task.
  std::string mPayload;
  std::vector<StepSpec> mSteps;
  std::optional<Repetition> mRepetition;

  // Number of tasks of all steps, without repetition.
  std::int64_t TaskCount() const;
  // Sorts the dependencies of each step and keeps one of each. A caller may
  // name the same step any number of times.
  void RemoveRepeatedDependencies();
};

} // namespace oriolevane::jobs
