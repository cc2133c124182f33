// The in-memory state of a worker: its lease, polls, runs and health.
#pragma once

#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "crashes/placement.h"
#include "jobs/internal/job.h"
#include "jobs/internal/workerhealth.h"
#include "jobs/internal/workerlease.h"
#include "jobs/types/workerreport.h"

namespace oriolevane::jobs {

// A reading of a worker's clock. When the answer with the reading arrived at
// mReadAt, the worker's clock was at mWorkerTime or later.
struct ClockReading
{
  WorkerTime mWorkerTime{ 0 };
  TimePoint mReadAt;
};

// A worker of the shard.
struct Worker
{
  WorkerEntry mEntry;
  // The entry is known to be of an earlier process than the one that answers.
  // Its kind and capacity may differ from the present ones.
  bool mEntryIsFormer = false;
  // An entry has named the incarnation, as all that the worker writes then do.
  bool mEntryNamesIncarnation = false;
  // The worker is in the registry.
  bool mRegistered = false;
  TimePoint mUnregisteredSince;
  // For a draining worker: the earliest time at which it leaves.
  std::optional<TimePoint> mLeavesAt;
  // The store holds the worker's record, so that a later owner knows of it.
  bool mRecorded = false;
  // The largest amounts that the capacity has had, as in the record. Nothing is
  // started beyond them before the record is in the store.
  std::optional<Resources> mMaxCapacity;
  // Position of the latest change that records the worker.
  RecordPosition mRecordPosition;
  // The worker's record is being removed, so it gets no more tasks.
  bool mRetired = false;

  // Fencing token of the next orders.
  FencingToken mToken;
  // Highest fencing token that the worker has answered to.
  FencingToken mTokenSeen;
  // All runs that other owners, or orders to an earlier incarnation, may have
  // started on the present process are known, or their leases have expired.
  bool mReconciled = false;
  // A report that answers a poll with this token or a higher one is complete,
  // because the worker then refuses earlier orders that are still on their way.
  FencingToken mReconcilingToken;
  // The worker answered its last poll.
  bool mReachable = false;
  std::optional<ClockReading> mClock;
  // When the worker last answered, in whatever incarnation; empty until it has.
  std::optional<TimePoint> mLastAnswerAt;
  // When the start of the present incarnation became known; empty for the first
  // one that this owner knows.
  std::optional<TimePoint> mRestartKnownAt;
  WorkerLease mLease;
  // Some of the runs are absent from the worker's reports.
  bool mHasAbsentRuns = false;

  // Polls that have been sent and not been answered yet. A long poll lets the
  // worker delay its answer.
  bool mLongPollInFlight = false;
  bool mShortPollInFlight = false;
  std::uint64_t mLastPollSerial = 0;
  std::uint64_t mLastAnswerSerial = 0;
  TimePoint mNextPollAt;
  // Requests a poll at once.
  bool mPollWanted = false;

  // Serial of the latest ended run that has been processed.
  std::uint64_t mProcessedEndSerial = 0;
  // Serial of the latest ended run whose effects are in the store.
  std::uint64_t mRecordedEndSerial = 0;
  // Serials of ended runs whose effects are in the store once all changes up to
  // the position are.
  std::deque<std::pair<RecordPosition, std::uint64_t>> mUnrecordedEndSerials;

  std::vector<RunPointer> mRuns;
  // Resources of all runs.
  Resources mUsed;
  // Number of runs of suspected tasks.
  int mSuspectedRuns = 0;
  // Runs of which it is not known yet whether they ended in a crash.
  std::vector<std::pair<TaskKey, RunNumber>> mLostRuns;
  // The worker has runs whose resources are not known.
  bool mHasUnknownLoad = false;
  WorkerHealth mHealth;
  // Generation of the fleet's capacity at which the worker last gained free
  // capacity or became usable again.
  std::uint64_t mGainGeneration = 0;
  // The worker was usable in the last placement pass.
  bool mWasUsable = false;
  // Single tasks that can wait leave the worker to gangs in the present pass.
  bool mLeftToGangs = false;

  const WorkerId& Id() const { return mEntry.mId; }
  WorkerTarget Target() const
  {
    return { mEntry.mId, mEntry.mAddress, mEntry.mZone };
  }
  // Returns nullptr when there is no such run.
  Run* FindRun(const TaskKey& aTask, RunNumber aNumber) const;
  void AddRun(RunPointer aRun);
  void RemoveRun(const Run* aRun);
  // Marks all runs as uncertain after the worker restarted. The former process
  // may still end them, and the present one has those whose start orders were
  // still in flight; its next report shows which.
  void InterruptRuns();
  // True when runs of other jobs than the given one are in their probation.
  bool HasYoungRunsOfOthers(const JobId& aJob, TimePoint aNow) const;
  // What is known of one of the runs if the worker has crashed.
  RunAtCrash StateAtCrash(const Run& aRun) const;
  // Notes that the task of a run is not suspected any more.
  void ClearSuspicion(Run& aRun);
  // What the worker runs of other jobs than the given one.
  crashes::OtherJobs RunsOfOthers(const JobId& aJob) const;
  // True when the free capacity is known and sufficient.
  bool HasRoomFor(const Resources& aResources) const;
};

} // namespace oriolevane::jobs
