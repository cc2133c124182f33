// The state that the parts of a placer share.
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
#include "placement/internal/siblingtable.h"
#include "placement/internal/teamtable.h"
#include "placement/internal/timerqueue.h"
#include "placement/internal/tombstones.h"
#include "placement/internal/workertable.h"
#include "placement/internal/workloadtable.h"
#include "placement/types/placeroptions.h"
#include "protocol/types/sharddigest.h"

namespace oriolevane::placement {

struct PlacerContext
{
  explicit PlacerContext(const PlacerOptions& aOptions);

  AttemptRef RefOf(AttemptIndex aIndex) const
  {
    return { .mIndex = aIndex,
             .mGeneration = mAttempts.At(aIndex).mGeneration };
  }
  // Null when the attempt is gone.
  Attempt* Resolve(const AttemptRef& aRef);
  // The worker's name, empty for kNoWorker.
  WorkerId NameOf(WorkerIndex aWorker) const;
  // Opens or closes the worker and files it under its free capacity. To be
  // called after any change of its state or its grants.
  void Refresh(WorkerIndex aWorker);
  // Counts a waiting attempt in, with 1, or out, with -1.
  void CountWaiting(const Attempt& aAttempt, int aChange);
  // Has a command sent to the worker at the end of this call.
  void MarkDirty(WorkerIndex aWorker);
  // True when a worker of the shard could hold this if it were empty.
  bool CouldEverFit(const Resources& aNeed) const;

  const PlacerOptions mOptions;
  std::shared_ptr<const policy::CellPolicy> mPolicy;
  TimePoint mNow;
  std::mt19937_64 mRandom;
  WorkerTable mWorkers;
  AttemptTable mAttempts;
  CapacityLedger mLedger;
  CapacityIndex mIndex;
  FreedWorkers mFreed;
  TeamTable mTeams;
  WorkloadTable mWorkloads;
  SiblingTable mSiblings;
  TimerQueue mTimers;
  Tombstones mTombstones;
  Outbox mOutbox;
  std::vector<WorkerIndex> mDirty;
  // Kinds of listed workers by grantable capacity; changes are counted.
  std::vector<Resources> mCapacityKinds;
  std::uint64_t mCapacityVersion = 0;
  // Waiting tasks by the urgency they came with.
  std::array<std::uint32_t, protocol::kUrgencyLevels> mWaiting{};
  // Waiting tasks that need accelerators, and what such tasks need of the other
  // resources for each accelerator, by a decayed mean.
  std::uint32_t mWaitingForAccelerators = 0;
  Resources mPerAccelerator;
  // Tasks placed in all, and a second by a decayed mean.
  std::uint64_t mPlaced = 0;
  double mPlacedPerSecond = 0;
  std::uint32_t mQuarantined = 0;
  std::uint32_t mCautious = 0;
  bool mDeposed = false;
  // The shard is being handed over: nothing is started any more.
  bool mHandingOver = false;
  // False while another node may own the shard: no lease is judged lapsed.
  bool mOwnershipConfirmed = true;
  // Every worker was fenced or its leases have surely lapsed.
  bool mRecovered = false;
};

} // namespace oriolevane::placement
