// Tracks attempts that placers hold for requests unknown to the journal.
#pragma once

#include <deque>
#include <map>
#include <unordered_set>
#include <vector>

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "protocol/types/taskkey.h"

namespace oriolevane::coordination::internal {

// An attempt to be cancelled, and the shard that holds it.
struct OrphanAttempt
{
  protocol::TaskKey mTask;
  ShardId mShard;
};

// OrphanTable arise when requests are accepted while the store is unavailable
// and the owner of the partition fails before their records are written. The
// cancellation of each orphan is resent until the attempt has ended.
class OrphanTable
{
public:
  // Adds an attempt, or updates its shard and epoch. Returns true for a new
  // one.
  bool Add(const protocol::TaskKey& aTask, ShardId aShard, Epoch aEpoch);
  // Removes an attempt that has ended. Unless it never started, its request is
  // remembered as one that may have run.
  void End(const protocol::TaskKey& aTask, bool aNeverStarted, TimePoint aNow);
  // True when an attempt of this request has not ended.
  bool Has(const RequestId& aId) const;
  // True when an ended attempt of this request started or may have started.
  bool MayHaveRun(const RequestId& aId) const
  {
    return mEndedRequests.contains(aId);
  }
  // Ends the attempts at the shard that were last seen under an epoch before
  // aEpoch: the placer of aEpoch did not list them.
  void EndUnlisted(ShardId aShard, Epoch aEpoch, TimePoint aNow);
  // Drops the ids of requests that are remembered since before aBefore.
  void ForgetEnded(TimePoint aBefore);
  // Returns up to aMax attempts whose cancellation is due. Each becomes due
  // again after aResendInterval.
  std::vector<OrphanAttempt> TakeDue(TimePoint aNow,
                                     Duration aResendInterval,
                                     std::size_t aMax);
  std::size_t Size() const { return mAttempts.size(); }

private:
  struct Location
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

  std::map<protocol::TaskKey, Location> mAttempts;
  // Requests with an ended attempt that started or may have started.
  std::unordered_set<RequestId> mEndedRequests;
  std::deque<Ended> mEndedRequestsByAge;
  std::deque<Due> mDue;
};

} // namespace oriolevane::coordination::internal
