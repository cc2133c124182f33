#include "placement/internal/capacityindex.h"

#include <algorithm>
#include <array>
#include <bit>

namespace oriolevane::placement {

namespace {

constexpr std::int64_t kUnitMilliCores = 250;
constexpr std::int64_t kUnitMemoryMiB = 256;
// The unused high bit of each byte of a PackedClasses word.
constexpr std::uint32_t kClassHighBits = 0x80808080;
constexpr int kResourceCount = 4;
constexpr int kBitsPerClass = 8;

// Returns 0 for an amount of zero or below, and otherwise one class per power
// of two.
std::uint32_t
PowerOfTwoClass(std::int64_t aAmount)
{
  return aAmount <= 0 ? 0U
                      : static_cast<std::uint32_t>(
                          std::bit_width(static_cast<std::uint64_t>(aAmount)));
}

// Returns the class of the amount in whole units. Amounts between zero and one
// unit share the class of one unit.
std::uint32_t
ScaledPowerOfTwoClass(std::int64_t aAmount, std::int64_t aUnit)
{
  return aAmount <= 0
           ? 0U
           : PowerOfTwoClass(std::max<std::int64_t>(1, aAmount / aUnit));
}

} // namespace

void
CapacityIndex::Put(WorkerIndex aWorker, const Resources& aFree)
{
  if (aWorker >= mLocations.size()) {
    mLocations.resize(aWorker + 1);
  }
  const PackedClasses classes = ClassesOf(aFree);
  const Location& location = mLocations[aWorker];
  if (location.mBucket != kNoBucket) {
    if (mBucketClasses[location.mBucket] == classes) {
      return;
    }
    Remove(aWorker);
  }
  const std::uint32_t bucket = BucketFor(classes);
  std::vector<WorkerIndex>& members = mBuckets[bucket];
  mLocations[aWorker] = { .mBucket = bucket,
                          .mPosition =
                            static_cast<std::uint32_t>(members.size()) };
  members.push_back(aWorker);
  ++mSize;
}

void
CapacityIndex::Remove(WorkerIndex aWorker)
{
  if (aWorker >= mLocations.size() ||
      mLocations[aWorker].mBucket == kNoBucket) {
    return;
  }
  const Location location = mLocations[aWorker];
  std::vector<WorkerIndex>& members = mBuckets[location.mBucket];
  const WorkerIndex last = members.back();
  members[location.mPosition] = last;
  mLocations[last].mPosition = location.mPosition;
  members.pop_back();
  mLocations[aWorker] = {};
  --mSize;
}

CapacityIndex::PackedClasses
CapacityIndex::ClassesOf(const Resources& aAmount)
{
  const std::array<std::uint32_t, kResourceCount> classes{
    ScaledPowerOfTwoClass(aAmount.mMilliCores, kUnitMilliCores),
    ScaledPowerOfTwoClass(aAmount.mMemoryMiB, kUnitMemoryMiB),
    PowerOfTwoClass(aAmount.mAccelerators),
    PowerOfTwoClass(aAmount.mSlots)
  };
  PackedClasses word = 0;
  for (const std::uint32_t sizeClass : classes) {
    word = (word << kBitsPerClass) | sizeClass;
  }
  return word;
}

bool
CapacityIndex::Covers(PackedClasses aHave, PackedClasses aNeed)
{
  return (((aHave | kClassHighBits) - aNeed) & kClassHighBits) ==
         kClassHighBits;
}

std::uint32_t
CapacityIndex::Distance(PackedClasses aHave, PackedClasses aNeed)
{
  const PackedClasses surplus = aHave - aNeed;
  std::uint32_t sum = 0;
  std::uint32_t largest = 0;
  std::uint32_t smallest = 0xff;
  for (int resource = 0; resource < kResourceCount; ++resource) {
    const std::uint32_t sizeClass =
      (surplus >> (resource * kBitsPerClass)) & 0xffU;
    sum += sizeClass;
    largest = std::max(largest, sizeClass);
    smallest = std::min(smallest, sizeClass);
  }
  return sum + (largest - smallest);
}

std::uint32_t
CapacityIndex::BucketFor(PackedClasses aClasses)
{
  const auto next = static_cast<std::uint32_t>(mBuckets.size());
  const auto [location, isNew] = mBucketByClasses.try_emplace(aClasses, next);
  if (isNew) {
    mBuckets.emplace_back();
    mBucketClasses.push_back(aClasses);
  }
  return location->second;
}

void
CapacityIndex::CollectCandidates(PackedClasses aNeed)
{
  mCandidates.clear();
  for (std::uint32_t bucket = 0; bucket < mBucketClasses.size(); ++bucket) {
    if (Covers(mBucketClasses[bucket], aNeed) && !mBuckets[bucket].empty()) {
      mCandidates.push_back(
        { .mDistance = Distance(mBucketClasses[bucket], aNeed),
          .mBucket = bucket });
    }
  }
  std::sort(mCandidates.begin(), mCandidates.end());
}

} // namespace oriolevane::placement
