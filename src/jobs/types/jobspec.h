// What a caller submits.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "framework/types/resources.h"

namespace oriolevane::jobs {

// A step's tasks are alike and start once all tasks of the steps before it have
// succeeded.
struct StepSpec
{
  int mTaskCount = 0;
  // Of each task.
  Resources mResources;
  // The caller's guess of a task's run time.
  std::chrono::milliseconds mEstimate{ 0 };
  // Numbers of the steps that must have succeeded.
  std::vector<int> mAfter;
  // The tasks save checkpoints from which another start can go on.
  bool mCheckpointing = false;
  // The tasks run only all together and succeed together.
  bool mGang = false;
  // The tasks are slower when spread over several racks.
  bool mRackSensitive = false;
  // A label that the worker must have; empty for none.
  std::string mRequiredLabel;
  // The rack where the data is; the tasks are slower elsewhere. Empty for none.
  std::string mDataRack;
  // Tasks on one worker at a time; 0 for no limit.
  int mMostPerWorker = 0;
  // Several copies of a task may run at once; the first to succeed counts.
  bool mSpeculative = false;
  // The tasks run until the job is cancelled and are started again however
  // they end.
  bool mLongRunning = false;
  // Tasks of the same image behave alike.
  std::string mImage;
  // Limit for the tail of the response times of a serving task; 0 for none.
  std::chrono::milliseconds mTailTarget{ 0 };
  // The processors that the tasks ask for are not counted: they take what other
  // tasks leave unused.
  bool mUsesSpareProcessors = false;
  // Tasks of a long-running step that the scheduler may take away at once.
  int mTolerableMisses = 0;
};

// A job that runs several times.
struct Repetition
{
  int mCount = 0;
  // When the first occurrence is due, as Unix time.
  std::chrono::milliseconds mFirstDue{ 0 };
  std::chrono::milliseconds mInterval{ 0 };
};

struct JobSpec
{
  // Passed to every task; its meaning is the caller's.
  std::string mPayload;
  std::vector<StepSpec> mSteps;
  std::optional<Repetition> mRepetition;
};

} // namespace oriolevane::jobs
