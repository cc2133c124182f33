// Finds workers with enough free capacity without scanning all of them.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <random>
#include <unordered_map>
#include <vector>

#include "framework/types/resources.h"
#include "placement/internal/handles.h"

namespace oriolevane::placement {

// Open workers are grouped into buckets by the size classes of their free
// resources. A size class spans a factor of two. A search scans the buckets,
// whose number is bounded by the size classes and not by the workers, and draws
// a few members from those that fit most closely.
class CapacityIndex
{
public:
  // Moves the worker to the bucket of its free capacity, adding it if needed.
  void Put(WorkerIndex aWorker, const Resources& aFree);
  void Remove(WorkerIndex aWorker);
  std::size_t Size() const { return mSize; }
  std::size_t BucketCount() const { return mBuckets.size(); }

  // Calls aVisit(worker) for up to aMaxInspected workers that may have room for
  // aNeed, closest buckets first, starting at a random member of each. aVisit
  // returns true when it accepts the worker; the search ends after aMaxAccepted
  // accepted workers. Returns false when workers that might have room were not
  // visited.
  template<typename Visitor>
  bool Search(const Resources& aNeed,
              std::size_t aMaxAccepted,
              std::size_t aMaxInspected,
              std::mt19937_64& aRandom,
              const Visitor& aVisit);

private:
  // Size classes of the four resources, one per byte, each below 128.
  using PackedClasses = std::uint32_t;

  // Location of a worker in mBuckets.
  struct Location
  {
    std::uint32_t mBucket = kNoBucket;
    std::uint32_t mPosition = 0;
  };

  // A bucket that may fit, ordered by its distance to the need.
  struct Candidate
  {
    std::uint32_t mDistance = 0;
    std::uint32_t mBucket = 0;

    bool operator<(const Candidate& aOther) const
    {
      return mDistance != aOther.mDistance ? mDistance < aOther.mDistance
                                           : mBucket < aOther.mBucket;
    }
  };

  static constexpr std::uint32_t kNoBucket = 0xffffffff;
  static constexpr std::size_t kMaxAcceptedPerBucket = 6;
  static constexpr std::size_t kMaxInspectedPerBucket = 64;

  static PackedClasses ClassesOf(const Resources& aAmount);
  // Returns true when each class in aHave is at least the one in aNeed.
  static bool Covers(PackedClasses aHave, PackedClasses aNeed);
  // Returns how much larger the classes in aHave are than those in aNeed. A
  // surplus that differs between resources counts more. aHave covers aNeed.
  static std::uint32_t Distance(PackedClasses aHave, PackedClasses aNeed);
  // Returns the bucket of these classes, creating it if needed.
  std::uint32_t BucketFor(PackedClasses aClasses);
  // Fills mCandidates with the non-empty buckets that cover aNeed, closest
  // first.
  void CollectCandidates(PackedClasses aNeed);

  // Members of each bucket. Empty buckets are kept.
  std::vector<std::vector<WorkerIndex>> mBuckets;
  // Classes of each bucket, in a contiguous array for a fast scan.
  std::vector<PackedClasses> mBucketClasses;
  std::unordered_map<PackedClasses, std::uint32_t> mBucketByClasses;
  std::vector<Location> mLocations;
  std::vector<Candidate> mCandidates;
  // Number of workers in the index.
  std::size_t mSize = 0;
};

template<typename Visitor>
bool
CapacityIndex::Search(const Resources& aNeed,
                      std::size_t aMaxAccepted,
                      std::size_t aMaxInspected,
                      std::mt19937_64& aRandom,
                      const Visitor& aVisit)
{
  CollectCandidates(ClassesOf(aNeed));
  std::size_t accepted = 0;
  std::size_t inspected = 0;
  bool complete = true;
  for (const Candidate& candidate : mCandidates) {
    const std::vector<WorkerIndex>& members = mBuckets[candidate.mBucket];
    const std::size_t first = aRandom() % members.size();
    const std::size_t limitHere =
      std::min(members.size(), kMaxInspectedPerBucket);
    complete = complete && limitHere == members.size();
    std::size_t acceptedHere = 0;
    for (std::size_t step = 0; step < limitHere; ++step) {
      if (accepted >= aMaxAccepted || inspected >= aMaxInspected) {
        return false;
      }
      ++inspected;
      if (aVisit(members[(first + step) % members.size()])) {
        ++accepted;
        if (++acceptedHere >= kMaxAcceptedPerBucket) {
          break;
        }
      }
    }
  }
  return complete;
}

} // namespace oriolevane::placement
