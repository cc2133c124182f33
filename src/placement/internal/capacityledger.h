// What was granted on each worker. Usage that workers report plays no part.
#pragma once

#include <cstdint>
#include <vector>

#include "framework/types/resources.h"
#include "placement/internal/handles.h"

namespace oriolevane::placement {

struct LedgerEntry
{
  Resources mCapacity;
  // The part of the capacity that may be granted.
  Resources mGrantable;
  Resources mGranted;
  // A worker that is not open has no free capacity to offer.
  bool mOpen = false;

  // May be negative after an inventory or a cut of the capacity.
  Resources Free() const { return mGrantable - mGranted; }
};

// Per resource the larger amount.
Resources
Largest(const Resources& aLeft, const Resources& aRight);

class CapacityLedger
{
public:
  // Adds the worker or changes its capacity.
  void SetCapacity(WorkerIndex aWorker,
                   const Resources& aCapacity,
                   std::uint32_t aGrantablePerMille);
  // Opens the worker to new grants or closes it.
  void SetOpen(WorkerIndex aWorker, bool aOpen);
  // False, and nothing is granted, when the worker is closed or it does not
  // fit.
  bool TryGrant(WorkerIndex aWorker, const Resources& aAmount);
  // Counts what a worker was found to hold already.
  void CountExisting(WorkerIndex aWorker, const Resources& aAmount);
  void Release(WorkerIndex aWorker, const Resources& aAmount);

  const LedgerEntry& At(WorkerIndex aWorker) const { return mEntries[aWorker]; }
  WorkerIndex Size() const { return static_cast<WorkerIndex>(mEntries.size()); }
  // Sum of grantable capacity and of grants over open workers.
  const Resources& OpenTotal() const { return mOpenTotal; }
  const Resources& OpenGranted() const { return mOpenGranted; }
  std::uint32_t OpenCount() const { return mOpenCount; }
  // Per resource the most that is free on one open worker. Looks at all.
  Resources LargestFree() const;

private:
  void AddToTotals(const LedgerEntry& aEntry, std::int64_t aSign);

  std::vector<LedgerEntry> mEntries;
  Resources mOpenTotal;
  Resources mOpenGranted;
  std::uint32_t mOpenCount = 0;
};

} // namespace oriolevane::placement
