// Accounts for the resources granted on each worker. Usage reported by the
// workers is not taken into account.
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
  // New grants are made only on open workers.
  bool mOpen = false;

  // Returns the capacity that is not granted. It may be negative after an
  // inventory was counted or the capacity was reduced.
  Resources Free() const { return mGrantable - mGranted; }
};

// Returns the larger amount of each resource.
Resources
ComponentwiseMax(const Resources& aLeft, const Resources& aRight);

// Keeps one entry per worker and the totals over open workers.
class CapacityLedger
{
public:
  // Adds the worker or changes its capacity. aGrantablePerMille is the share of
  // the capacity that may be granted, in thousandths.
  void SetCapacity(WorkerIndex aWorker,
                   const Resources& aCapacity,
                   std::uint32_t aGrantablePerMille);
  // Opens the worker to new grants or closes it.
  void SetOpen(WorkerIndex aWorker, bool aOpen);
  // Grants the amount. Returns false and grants nothing when the worker is
  // closed or the amount does not fit.
  bool TryGrant(WorkerIndex aWorker, const Resources& aAmount);
  // Adds an amount that a worker was found to hold already; it may exceed the
  // free capacity.
  void AddExistingGrant(WorkerIndex aWorker, const Resources& aAmount);
  // Returns a granted amount to the free capacity.
  void Release(WorkerIndex aWorker, const Resources& aAmount);

  const LedgerEntry& At(WorkerIndex aWorker) const { return mEntries[aWorker]; }
  WorkerIndex Size() const { return static_cast<WorkerIndex>(mEntries.size()); }
  // Sums of the grantable and of the granted resources over open workers.
  const Resources& OpenTotal() const { return mOpenTotal; }
  const Resources& OpenGranted() const { return mOpenGranted; }
  std::uint32_t OpenCount() const { return mOpenCount; }
  // Returns for each resource the largest free amount on any one open worker.
  // Scans all entries.
  Resources LargestFree() const;

private:
  // Adds the entry to the totals, or subtracts it when aSign is negative.
  void UpdateTotals(const LedgerEntry& aEntry, std::int64_t aSign);

  std::vector<LedgerEntry> mEntries;
  Resources mOpenTotal;
  Resources mOpenGranted;
  std::uint32_t mOpenCount = 0;
};

} // namespace oriolevane::placement
