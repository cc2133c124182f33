// What a node knows of its own ownership of the shard, and of the owner before
// it.
#pragma once

#include <optional>

#include "framework/types/timepoint.h"

namespace oriolevane::jobs {

// While the store does not answer, another node may have taken over. A node
// then goes on with what it knows, but concludes nothing that only holds while
// it is the only owner.
class Ownership
{
public:
  // Notes that this node owned the shard at aProvenAt, and that it may renew
  // leases and start tasks until aEnd.
  void Prove(TimePoint aProvenAt, TimePoint aEnd)
  {
    mProvenAt = aProvenAt;
    mEnd = aEnd;
  }
  // Ends the ownership, which Prove() does not undo.
  void EndForGood() { mEnded = true; }
  TimePoint End() const { return mEnded ? TimePoint() : mEnd; }
  // True when no other node can have taken over by the given time.
  bool IsProvenAt(TimePoint aTime) const { return aTime <= mProvenAt; }

  // Notes that a worker has seen the fencing token of a later owner.
  void NoteLaterOwner(TimePoint aNow) { mLaterOwnerSeenAt = aNow; }
  // True while a worker has shown that there is a later owner, and the store
  // has not shown the opposite.
  bool MayHaveLaterOwner() const
  {
    return mLaterOwnerSeenAt.has_value() && !IsProvenAt(*mLaterOwnerSeenAt);
  }

  // Notes that the earlier owner starts nothing and renews no leases any more.
  void EndPredecessor(TimePoint aNow)
  {
    mPredecessorEndedAt = mPredecessorEndedAt.value_or(aNow);
  }
  // True when the earlier owner is known to have stopped by the given time.
  bool HadPredecessorEndedAt(TimePoint aTime) const
  {
    return mPredecessorEndedAt.has_value() && *mPredecessorEndedAt <= aTime;
  }

private:
  TimePoint mProvenAt;
  TimePoint mEnd;
  bool mEnded = false;
  std::optional<TimePoint> mLaterOwnerSeenAt;
  std::optional<TimePoint> mPredecessorEndedAt;
};

} // namespace oriolevane::jobs
