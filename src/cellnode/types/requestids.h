// Numbers requests to other nodes, so that an answer to a request of another
// process or ownership term is told from one to a request of this one.
#pragma once

#include <cstdint>

#include "framework/types/ids.h"

namespace oriolevane::cellnode {

// Issues ids that no other process or term issues. A node's name stands for all
// its processes and terms, and answers are sent to a name.
template<typename Id>
class RequestIds
{
public:
  // Ids for all requests of a process.
  static RequestIds OfProcess(Incarnation aIncarnation)
  {
    return RequestIds(aIncarnation.mValue << kProcessIdBits);
  }
  // Ids for the requests that an owner sends in one term.
  static RequestIds OfTerm(Epoch aEpoch)
  {
    return RequestIds(aEpoch.mValue << kTermIdBits);
  }

  Id Next()
  {
    ++mLast.mValue;
    return mLast;
  }
  // False for an id that another process or term has issued.
  bool HasIssued(Id aId) const { return mBefore < aId && aId <= mLast; }

private:
  // Number of bits below the incarnation, which is a start time in ms. A
  // process that needs more of them reaches the ids of a start that is over.
  static constexpr int kProcessIdBits = 20;
  // Number of bits below the epoch.
  static constexpr int kTermIdBits = 40;

  explicit RequestIds(std::uint64_t aBefore)
    : mBefore(aBefore)
    , mLast(aBefore)
  {
  }

  // The id before the first one.
  Id mBefore;
  Id mLast;
};

} // namespace oriolevane::cellnode
