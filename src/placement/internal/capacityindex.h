// Finds workers with room without looking at all of them.
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

// Open workers lie in buckets by the class of what is free of each resource,
// a class being an octave. A search looks at the buckets, whose number is
// bounded by the classes and not by the workers, and draws a few members from
// those that fit closest.
class CapacityIndex
{
public:
  // Puts the worker where its free capacity belongs.
  void Put(WorkerIndex aWorker, const Resources& aFree);
  void Remove(WorkerIndex aWorker);
  std::size_t Size() const { return mSize; }
  std::size_t BucketCount() const { return mBuckets.size(); }

  // Offers up to aMostOffered workers that may have room for aNeed, closest
  // buckets first, random members of each. aVisit(worker) returns true when the
  // worker can take it; the search ends once aEnough were taken. Returns false
  // when workers that might have room were left out.
  template<typename Visitor>
  bool Search(const Resources& aNeed,
              std::size_t aEnough,
              std::size_t aMostOffered,
              std::mt19937_64& aRandom,
              const Visitor& aVisit);

private:
  // Four classes, one a byte, each below 128.
  using ClassWord = std::uint32_t;

  struct Place
  {
    std::uint32_t mBucket = kNowhere;
    std::uint32_t mPosition = 0;
  };

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

  static constexpr std::uint32_t kNowhere = 0xffffffff;
  static constexpr std::size_t kTakenPerBucket = 6;
  static constexpr std::size_t kOfferedPerBucket = 64;

  static ClassWord ClassesOf(const Resources& aAmount);
  // Each class in aHave is at least the one in aNeed.
  static bool Covers(ClassWord aHave, ClassWord aNeed);
  // How much larger the classes in aHave are, an uneven surplus counting more.
  static std::uint32_t Distance(ClassWord aHave, ClassWord aNeed);
  std::uint32_t BucketFor(ClassWord aClasses);
  // Fills mCandidates, closest first.
  void CollectCandidates(ClassWord aNeed);

  // Members of each bucket. Buckets stay when they become empty.
  std::vector<std::vector<WorkerIndex>> mBuckets;
  // Classes of each bucket, contiguous for the scan.
  std::vector<ClassWord> mScan;
  std::unordered_map<ClassWord, std::uint32_t> mByClasses;
  std::vector<Place> mPlaces;
  std::vector<Candidate> mCandidates;
  std::size_t mSize = 0;
};

template<typename Visitor>
bool
CapacityIndex::Search(const Resources& aNeed,
                      std::size_t aEnough,
                      std::size_t aMostOffered,
                      std::mt19937_64& aRandom,
                      const Visitor& aVisit)
{
  CollectCandidates(ClassesOf(aNeed));
  std::size_t taken = 0;
  std::size_t offered = 0;
  bool complete = true;
  for (const Candidate& candidate : mCandidates) {
    const std::vector<WorkerIndex>& members = mBuckets[candidate.mBucket];
    const std::size_t first = aRandom() % members.size();
    const std::size_t most = std::min(members.size(), kOfferedPerBucket);
    complete = complete && most == members.size();
    std::size_t takenHere = 0;
    for (std::size_t step = 0; step < most; ++step) {
      if (taken >= aEnough || offered >= aMostOffered) {
        return false;
      }
      ++offered;
      if (aVisit(members[(first + step) % members.size()])) {
        ++taken;
        if (++takenHere >= kTakenPerBucket) {
          break;
        }
      }
    }
  }
  return complete;
}

} // namespace oriolevane::placement
