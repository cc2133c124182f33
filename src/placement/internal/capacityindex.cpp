#include "placement/internal/capacityindex.h"

#include <algorithm>
#include <array>
#include <bit>

namespace oriolevane::placement {

namespace {

constexpr std::int64_t kMilliCoresUnit = 250;
constexpr std::int64_t kMemoryUnitMiB = 256;
constexpr std::uint32_t kHighBits = 0x80808080;
constexpr int kDimensions = 4;
constexpr int kBitsPerClass = 8;

// Zero for nothing, then one class an octave.
std::uint32_t
OctaveOf(std::int64_t aAmount)
{
  return aAmount <= 0 ? 0U
                      : static_cast<std::uint32_t>(
                          std::bit_width(static_cast<std::uint64_t>(aAmount)));
}

// Amounts below the unit share the class of one unit, but for none at all.
std::uint32_t
ScaledOctaveOf(std::int64_t aAmount, std::int64_t aUnit)
{
  return aAmount <= 0 ? 0U
                      : OctaveOf(std::max<std::int64_t>(1, aAmount / aUnit));
}

} // namespace

void
CapacityIndex::Put(WorkerIndex aWorker, const Resources& aFree)
{
  if (aWorker >= mPlaces.size()) {
    mPlaces.resize(aWorker + 1);
  }
  const ClassWord classes = ClassesOf(aFree);
  const Place& place = mPlaces[aWorker];
  if (place.mBucket != kNowhere) {
    if (mScan[place.mBucket] == classes) {
      return;
    }
    Remove(aWorker);
  }
  const std::uint32_t bucket = BucketFor(classes);
  std::vector<WorkerIndex>& members = mBuckets[bucket];
  mPlaces[aWorker] = { .mBucket = bucket,
                       .mPosition =
                         static_cast<std::uint32_t>(members.size()) };
  members.push_back(aWorker);
  ++mSize;
}

void
CapacityIndex::Remove(WorkerIndex aWorker)
{
  if (aWorker >= mPlaces.size() || mPlaces[aWorker].mBucket == kNowhere) {
    return;
  }
  const Place place = mPlaces[aWorker];
  std::vector<WorkerIndex>& members = mBuckets[place.mBucket];
  const WorkerIndex last = members.back();
  members[place.mPosition] = last;
  mPlaces[last].mPosition = place.mPosition;
  members.pop_back();
  mPlaces[aWorker] = {};
  --mSize;
}

CapacityIndex::ClassWord
CapacityIndex::ClassesOf(const Resources& aAmount)
{
  const std::array<std::uint32_t, kDimensions> classes{
    ScaledOctaveOf(aAmount.mMilliCores, kMilliCoresUnit),
    ScaledOctaveOf(aAmount.mMemoryMiB, kMemoryUnitMiB),
    OctaveOf(aAmount.mAccelerators),
    OctaveOf(aAmount.mSlots)
  };
  ClassWord word = 0;
  for (const std::uint32_t one : classes) {
    word = (word << kBitsPerClass) | one;
  }
  return word;
}

bool
CapacityIndex::Covers(ClassWord aHave, ClassWord aNeed)
{
  return (((aHave | kHighBits) - aNeed) & kHighBits) == kHighBits;
}

std::uint32_t
CapacityIndex::Distance(ClassWord aHave, ClassWord aNeed)
{
  const ClassWord surplus = aHave - aNeed;
  std::uint32_t sum = 0;
  std::uint32_t most = 0;
  std::uint32_t least = 0xff;
  for (int dimension = 0; dimension < kDimensions; ++dimension) {
    const std::uint32_t one = (surplus >> (dimension * kBitsPerClass)) & 0xffU;
    sum += one;
    most = std::max(most, one);
    least = std::min(least, one);
  }
  return sum + (most - least);
}

std::uint32_t
CapacityIndex::BucketFor(ClassWord aClasses)
{
  const auto next = static_cast<std::uint32_t>(mBuckets.size());
  const auto [place, isNew] = mByClasses.try_emplace(aClasses, next);
  if (isNew) {
    mBuckets.emplace_back();
    mScan.push_back(aClasses);
  }
  return place->second;
}

void
CapacityIndex::CollectCandidates(ClassWord aNeed)
{
  mCandidates.clear();
  for (std::uint32_t bucket = 0; bucket < mScan.size(); ++bucket) {
    if (Covers(mScan[bucket], aNeed) && !mBuckets[bucket].empty()) {
      mCandidates.push_back(
        { .mDistance = Distance(mScan[bucket], aNeed), .mBucket = bucket });
    }
  }
  std::sort(mCandidates.begin(), mCandidates.end());
}

} // namespace oriolevane::placement
