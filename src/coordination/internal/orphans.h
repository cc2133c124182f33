// Attempts that placers hold although the record knows no such request.
#pragma once

#include <deque>
#include <map>
#include <unordered_set>
#include <vector>

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "protocol/types/taskkey.h"

namespace oriolevane::coordination::internal {

struct OrphanAttempt
{
  protocol::TaskKey mTask;
  ShardId mShard;
};

// They come from requests accepted while the store was away, whose owner died
// before their records were written. Each is cancelled until it has ended.
class Orphans
{
public:
  // True when it was not known yet.
  bool Add(const protocol::TaskKey& aTask, ShardId aShard, Epoch aEpoch);
  // The attempt is over. Unless it never started, its request is remembered as
  // one that may have run.
  void End(const protocol::TaskKey& aTask, bool aNeverStarted, TimePoint aNow);
  bool Has(const RequestId& aId) const;
  // True when an ended orphan of this id started, or may have.
  bool MayHaveRun(const RequestId& aId) const { return mEnded.contains(aId); }
  // Ends the attempts at the shard that its placer of aEpoch did not list.
  void Sweep(ShardId aShard, Epoch aEpoch, TimePoint aNow);
  // Forgets the ids whose orphans ended before aBefore.
  void ForgetEnded(TimePoint aBefore);
  // Attempts whose cancellation is due; they are due again after aAgain.
  std::vector<OrphanAttempt> TakeDue(TimePoint aNow,
                                     Duration aAgain,
                                     std::size_t aMost);
  std::size_t Size() const { return mAttempts.size(); }

private:
  struct Place
  {
    ShardId mShard;
    Epoch mEpoch;
  };
  struct Due
  {
    TimePoint mAt;
    protocol::TaskKey mTask;
  };

  struct Ended
  {
    TimePoint mAt;
    RequestId mId;
  };

  std::map<protocol::TaskKey, Place> mAttempts;
  std::unordered_set<RequestId> mEnded;
  std::deque<Ended> mEndedByAge;
  std::deque<Due> mDue;
};

} // namespace oriolevane::coordination::internal
