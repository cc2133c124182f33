// Decides when the owner of the shard hands it over to another node although it
// could keep it. Deterministic.
//
// It answers two loads: a shard whose owner's host is smaller than others, and
// an owner whose host has become too slow for the shard while others are not.
#pragma once

#include <chrono>

#include "framework/types/timepoint.h"

namespace oriolevane::cellnode {

struct YieldOptions
{
  // A host is unfit when its fitness is below this fraction of the fittest
  // peer's.
  double mUnfitRatio = 0.5;
  // An overloaded owner hands over only to a peer with at least this fraction
  // of its own fitness.
  double mMinSuccessorRatio = 0.75;
  // An owner keeps the shard for this time, so that ownership does not change
  // hands too often.
  std::chrono::milliseconds mMinOwnership{ 1500 };
  // An owner counts as overloaded only after this time, since taking over is
  // itself a load.
  std::chrono::milliseconds mMinOwnershipBeforeOverload{ 3000 };
  // The same after a handover. When the shard is too large for any host, a
  // handover does not help.
  std::chrono::milliseconds mMinOwnershipAfterHandover{ 10000 };
};

enum class YieldReason
{
  None,
  UnfitHost,
  Overload
};

// What an owner knows when it decides whether to yield.
struct OwnerCondition
{
  double mOwnFitness = 0;
  // Fitness of the fittest linked peer; 0 when there is none.
  double mPeerFitness = 0;
  bool mOverloaded = false;
};

class YieldPolicy
{
public:
  explicit YieldPolicy(YieldOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  // Notes that this node owns the shard now. aHandedOver is true when the
  // previous owner released it.
  void OnOwnershipAcquired(bool aHandedOver, TimePoint aNow);
  YieldReason ReasonToYield(const OwnerCondition& aCondition,
                            TimePoint aNow) const;

private:
  YieldOptions mOptions;
  TimePoint mOwnedSince;
  bool mHandedOver = false;
};

} // namespace oriolevane::cellnode
