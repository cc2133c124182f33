#include "placement/internal/statecheck.h"

#include <vector>

#include "framework/stablehash.h"

namespace oriolevane::placement {

namespace {

std::uint64_t
AddNumber(std::uint64_t aHash, std::int64_t aNumber)
{
  return CombineHash(aHash, static_cast<std::uint64_t>(aNumber));
}

std::uint64_t
AddResources(std::uint64_t aHash, const Resources& aAmount)
{
  aHash = AddNumber(aHash, aAmount.mMilliCores);
  aHash = AddNumber(aHash, aAmount.mMemoryMiB);
  aHash = AddNumber(aHash, aAmount.mAccelerators);
  return AddNumber(aHash, aAmount.mSlots);
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
    hash = AddResources(hash, entry.mGrantable);
    hash = AddResources(hash, entry.mGranted);
    hash = AddNumber(hash, entry.mOpen ? 1 : 0);
  }
  aContext.mAttempts.ForEach([&](AttemptIndex aIndex, const Attempt& aAttempt) {
    hash = AddNumber(hash, aIndex);
    hash = CombineHash(hash, StableHash(aAttempt.mKey.mRequest.mValue));
    hash = AddNumber(hash, aAttempt.mKey.mIndex);
    hash = AddNumber(hash, aAttempt.mKey.mAttempt);
    hash = AddNumber(hash, static_cast<std::int64_t>(aAttempt.mState));
    hash = AddNumber(hash, static_cast<std::int64_t>(aAttempt.mReason));
    hash = AddNumber(hash, aAttempt.mWorker);
  });
  return hash;
}

bool
IsConsistent(const PlacerContext& aContext)
{
  std::vector<Resources> counted(aContext.mLedger.Size());
  bool isSound = true;
  aContext.mAttempts.ForEach(
    [&](AttemptIndex /*aIndex*/, const Attempt& aAttempt) {
      if (aAttempt.mCounted) {
        isSound = isSound && aAttempt.mWorker < counted.size();
        if (isSound) {
          counted[aAttempt.mWorker] += aAttempt.mResources;
        }
      }
    });
  for (WorkerIndex index = 0; index < aContext.mLedger.Size(); ++index) {
    const LedgerEntry& entry = aContext.mLedger.At(index);
    isSound = isSound && entry.mGranted == counted[index] &&
              entry.mGranted.FitsIn(entry.mCapacity);
  }
  return isSound;
}

} // namespace oriolevane::placement
