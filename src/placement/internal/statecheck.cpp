#include "placement/internal/statecheck.h"

#include <vector>

#include "framework/stablehash.h"

namespace oriolevane::placement {

namespace {

std::uint64_t
HashNumber(std::uint64_t aHash, std::int64_t aNumber)
{
  return CombineHash(aHash, static_cast<std::uint64_t>(aNumber));
}

std::uint64_t
HashResources(std::uint64_t aHash, const Resources& aAmount)
{
  aHash = HashNumber(aHash, aAmount.mMilliCores);
  aHash = HashNumber(aHash, aAmount.mMemoryMiB);
  aHash = HashNumber(aHash, aAmount.mAccelerators);
  return HashNumber(aHash, aAmount.mSlots);
}

} // namespace

std::uint64_t
HashState(const PlacerContext& aContext)
{
  std::uint64_t hash = 0;
  for (WorkerIndex index = 0; index < aContext.mLedger.Size(); ++index) {
    const LedgerEntry& entry = aContext.mLedger.At(index);
    hash = CombineHash(
      hash, StableHash(aContext.mWorkers.At(index).mInfo.mWorker.mValue));
    hash = HashResources(hash, entry.mGrantable);
    hash = HashResources(hash, entry.mGranted);
    hash = HashNumber(hash, entry.mOpen ? 1 : 0);
  }
  aContext.mAttempts.ForEach([&](AttemptIndex aIndex, const Attempt& aAttempt) {
    hash = HashNumber(hash, aIndex);
    hash = CombineHash(hash, StableHash(aAttempt.mKey.mRequest.mValue));
    hash = HashNumber(hash, aAttempt.mKey.mIndex);
    hash = HashNumber(hash, aAttempt.mKey.mAttempt);
    hash = HashNumber(hash, static_cast<std::int64_t>(aAttempt.mState));
    hash = HashNumber(hash, static_cast<std::int64_t>(aAttempt.mReason));
    hash = HashNumber(hash, aAttempt.mWorker);
  });
  return hash;
}

bool
IsConsistent(const PlacerContext& aContext)
{
  std::vector<Resources> grantedByAttempts(aContext.mLedger.Size());
  bool isConsistent = true;
  aContext.mAttempts.ForEach(
    [&](AttemptIndex /*aIndex*/, const Attempt& aAttempt) {
      if (aAttempt.mResourcesGranted) {
        isConsistent =
          isConsistent && aAttempt.mWorker < grantedByAttempts.size();
        if (isConsistent) {
          grantedByAttempts[aAttempt.mWorker] += aAttempt.mResources;
        }
      }
    });
  for (WorkerIndex index = 0; index < aContext.mLedger.Size(); ++index) {
    const LedgerEntry& entry = aContext.mLedger.At(index);
    isConsistent = isConsistent && entry.mGranted == grantedByAttempts[index] &&
                   entry.mGranted.FitsIn(entry.mCapacity);
  }
  return isConsistent;
}

} // namespace oriolevane::placement
