#include "placement/internal/capacityledger.h"

#include <algorithm>

namespace oriolevane::placement {

namespace {

constexpr std::int64_t kPerMille = 1000;

// Returns the share of each resource, rounded down, because whole units such as
// accelerators are never split.
Resources
GrantableShare(const Resources& aCapacity, std::uint32_t aPerMille)
{
  const std::int64_t share = aPerMille;
  return { .mMilliCores = aCapacity.mMilliCores * share / kPerMille,
           .mMemoryMiB = aCapacity.mMemoryMiB * share / kPerMille,
           .mAccelerators = aCapacity.mAccelerators * share / kPerMille,
           .mSlots = aCapacity.mSlots * share / kPerMille };
}

} // namespace

Resources
ComponentwiseMax(const Resources& aLeft, const Resources& aRight)
{
  return { .mMilliCores = std::max(aLeft.mMilliCores, aRight.mMilliCores),
           .mMemoryMiB = std::max(aLeft.mMemoryMiB, aRight.mMemoryMiB),
           .mAccelerators = std::max(aLeft.mAccelerators, aRight.mAccelerators),
           .mSlots = std::max(aLeft.mSlots, aRight.mSlots) };
}

void
CapacityLedger::SetCapacity(WorkerIndex aWorker,
                            const Resources& aCapacity,
                            std::uint32_t aGrantablePerMille)
{
  if (aWorker >= mEntries.size()) {
    mEntries.resize(aWorker + 1);
  }
  LedgerEntry& entry = mEntries[aWorker];
  UpdateTotals(entry, -1);
  entry.mCapacity = aCapacity;
  entry.mGrantable = GrantableShare(aCapacity, aGrantablePerMille);
  UpdateTotals(entry, 1);
}

void
CapacityLedger::SetOpen(WorkerIndex aWorker, bool aOpen)
{
  LedgerEntry& entry = mEntries[aWorker];
  UpdateTotals(entry, -1);
  entry.mOpen = aOpen;
  UpdateTotals(entry, 1);
}

bool
CapacityLedger::TryGrant(WorkerIndex aWorker, const Resources& aAmount)
{
  LedgerEntry& entry = mEntries[aWorker];
  if (!entry.mOpen || !aAmount.FitsIn(entry.Free())) {
    return false;
  }
  entry.mGranted += aAmount;
  mOpenGranted += aAmount;
  return true;
}

void
CapacityLedger::AddExistingGrant(WorkerIndex aWorker, const Resources& aAmount)
{
  mEntries[aWorker].mGranted += aAmount;
  if (mEntries[aWorker].mOpen) {
    mOpenGranted += aAmount;
  }
}

void
CapacityLedger::Release(WorkerIndex aWorker, const Resources& aAmount)
{
  mEntries[aWorker].mGranted -= aAmount;
  if (mEntries[aWorker].mOpen) {
    mOpenGranted -= aAmount;
  }
}

Resources
CapacityLedger::LargestFree() const
{
  Resources largest;
  for (const LedgerEntry& entry : mEntries) {
    if (entry.mOpen) {
      largest = ComponentwiseMax(largest, entry.Free());
    }
  }
  return largest;
}

void
CapacityLedger::UpdateTotals(const LedgerEntry& aEntry, std::int64_t aSign)
{
  if (!aEntry.mOpen) {
    return;
  }
  if (aSign > 0) {
    mOpenTotal += aEntry.mGrantable;
    mOpenGranted += aEntry.mGranted;
    ++mOpenCount;
  } else {
    mOpenTotal -= aEntry.mGrantable;
    mOpenGranted -= aEntry.mGranted;
    --mOpenCount;
  }
}

} // namespace oriolevane::placement
