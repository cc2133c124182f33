// A worker while it is in memory: its lease, its runs and how it behaves.
#pragma once

#include <deque>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "jobs/internal/job.h"
#include "jobs/types/workerreport.h"

namespace oriolevane::jobs {

// A worker's clock when its answer arrived. The worker's clock has gone on at
// least this far by then.
struct ClockReading
{
  WorkerTime mWorkerTime{ 0 };
  TimePoint mReadAt;
};

// How well runs go on a worker, compared with others.
struct WorkerHealth
{
  // Jobs with failed runs here since the last success.
  std::set<JobId> mFailedJobs;
  // Nothing is started before this time, then one run as a trial.
  TimePoint mAvoidUntil;
  bool mOnTrial = false;
  // Run time over what was expected; 1 is as expected.
  double mSlowness = 1.0;
};

struct Worker
{
  WorkerEntry mEntry;
  // Stands in the registry.
  bool mListed = false;
  TimePoint mUnlistedSince;
  // Other nodes would know of it.
  bool mRecorded = false;
  RecordPosition mRecordedBy;
  // Its record is removed: it gets no more tasks.
  bool mRetired = false;

  FencingToken mToken;
  // The highest token that it has answered to.
  FencingToken mTokenSeen;
  // It has told what runs on it since this node took over, or can run nothing
  // from before that.
  bool mResolved = false;
  // Polls with this token or a higher one tell all that runs there: orders with
  // lower ones can start nothing any more.
  FencingToken mResolvingToken;
  // Answered its last poll.
  bool mReachable = false;
  std::optional<ClockReading> mClock;
  // No task started or held by this node runs on after this time.
  TimePoint mLeaseEndsBy;

  bool mLongPollOut = false;
  bool mShortPollOut = false;
  std::uint64_t mLastPollSerial = 0;
  std::uint64_t mLastAnswerSerial = 0;
  TimePoint mNextPollAt;
  bool mPollWanted = false;

  // Ends up to this serial have been taken in.
  std::uint64_t mEndsSeen = 0;
  // Ends up to this serial are recorded.
  std::uint64_t mEndsRecorded = 0;
  std::deque<std::pair<RecordPosition, std::uint64_t>> mEndsToRecord;

  std::vector<RunPointer> mRuns;
  Resources mUsed;
  // It runs something whose size is not known.
  bool mHasUnknownLoad = false;
  WorkerHealth mHealth;
  // Change of the fleet at which it last gained room or could be used again.
  std::uint64_t mGainedAt = 0;
  bool mWasUsable = false;
  // Its place among the usable ones in their fixed order, 0 to 1.
  double mOrder = 0;

  const WorkerId& Id() const { return mEntry.mId; }
  WorkerTarget Target() const { return { mEntry.mId, mEntry.mAddress }; }
  Run* FindRun(const TaskKey& aTask, RunNumber aNumber) const;
  void AddRun(RunPointer aRun);
  void RemoveRun(const Run* aRun);
  bool HasRoomFor(const Resources& aResources) const;
};

} // namespace oriolevane::jobs
