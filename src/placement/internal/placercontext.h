// The state that the components of a placer share.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <random>
#include <vector>

#include "placement/internal/attempttable.h"
#include "placement/internal/capacityindex.h"
#include "placement/internal/capacityledger.h"
#include "placement/internal/freedworkers.h"
#include "placement/internal/outbox.h"
#include "placement/internal/spreadcounts.h"
#include "placement/internal/teamtable.h"
#include "placement/internal/timerqueue.h"
#include "placement/internal/tombstones.h"
#include "placement/internal/workertable.h"
#include "placement/internal/workloadtable.h"
#include "placement/types/placeroptions.h"
#include "protocol/types/sharddigest.h"

namespace oriolevane::placement {

// Holds the tables, the ledger, the timers and the shard-wide counts.
struct PlacerContext
{
  explicit PlacerContext(const PlacerOptions& aOptions);

  AttemptRef RefOf(AttemptIndex aIndex) const
  {
    return { .mIndex = aIndex,
             .mGeneration = mAttempts.At(aIndex).mGeneration };
  }
  // Returns null when the attempt has been erased.
  Attempt* Resolve(const AttemptRef& aRef);
  // Returns the worker's id, empty for kNoWorker.
  WorkerId NameOf(WorkerIndex aWorker) const;
  // Updates whether the worker is open for new work and its place in the
  // capacity index. Must be called after each change of its state or grants.
  void UpdateAvailability(WorkerIndex aWorker);
  // Adds aChange, 1 or -1, to the counts of waiting tasks that the attempt
  // belongs to.
  void CountWaiting(const Attempt& aAttempt, int aChange);
  // Schedules a command to the worker for the end of this call.
  void ScheduleCommand(WorkerIndex aWorker);
  // True when some worker of the shard could run this if it were empty.
  bool CouldEverFit(const Resources& aNeed) const;

  const PlacerOptions mOptions;
  std::shared_ptr<const policy::CellPolicy> mPolicy;
  TimePoint mNow;
  std::mt19937_64 mRandom;
  WorkerTable mWorkers;
  AttemptTable mAttempts;
  CapacityLedger mLedger;
  CapacityIndex mCapacityIndex;
  FreedWorkers mFreedWorkers;
  TeamTable mTeams;
  WorkloadTable mWorkloads;
  SpreadCounts mSpreadCounts;
  TimerQueue mTimers;
  Tombstones mTombstones;
  Outbox mOutbox;
  // Workers to which a command is due at the end of this call.
  std::vector<WorkerIndex> mCommandsDue;
  // The distinct grantable capacities of the listed workers. The version
  // increases with each change of the list.
  std::vector<Resources> mCapacityKinds;
  std::uint64_t mCapacityVersion = 0;
  // Number of waiting tasks by the urgency with which they were submitted.
  std::array<std::uint32_t, protocol::kUrgencyLevels> mWaitingByUrgency{};
  // Number of waiting tasks that need accelerators, and an exponentially
  // weighted mean of the other resources that such tasks need per accelerator.
  std::uint32_t mWaitingForAccelerators = 0;
  Resources mPerAccelerator;
  // Total number of tasks placed, and an exponentially weighted mean of the
  // tasks placed per second.
  std::uint64_t mPlacedCount = 0;
  double mPlacedPerSecond = 0;
  // Numbers of workers in quarantine or being probed, and of workers that get
  // one task at a time.
  std::uint32_t mQuarantinedWorkers = 0;
  std::uint32_t mThrottledWorkers = 0;
  // A worker reported a higher epoch: another placer owns the shard.
  bool mDeposed = false;
  // The shard is being handed over: no more tasks are started.
  bool mHandingOver = false;
  // False while another node may own the shard: no lease is then treated as
  // lapsed.
  bool mOwnershipConfirmed = true;
  // True once every worker has been fenced or its leases have certainly lapsed.
  bool mRecovered = false;
};

} // namespace oriolevane::placement
