// Requests of callers at the node that took them, until they are answered.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cellnode/types/caller.h"
#include "framework/types/ids.h"
#include "framework/types/timepoint.h"

namespace oriolevane::cellnode {

using CallId = NumberId<struct CallIdTag, std::uint64_t>;
// One sending of a call; a call that is sent again has another.
using SendId = NumberId<struct SendIdTag, std::uint64_t>;

// Deterministic. Requests go to the owner of the shard; all of them can be sent
// again to the next one.
class CallerQueue
{
public:
  CallId Add(CallerRequest aRequest, CallerReply aReply, TimePoint aNow);
  const CallerRequest* Find(CallId aId) const;
  // The number for the next sending.
  SendId NextSend();
  // The request is on its way to a node that owns the shard.
  void MarkSent(CallId aId, SendId aSend, const NodeId& aTo);
  // Takes an answer only to the newest sending of a request: what an earlier
  // owner refuses, the next one may have accepted, and both may be one node.
  void Answer(SendId aSend, const CallerAnswer& aAnswer);
  // The owner is gone: what was sent to it can be sent again.
  void MarkAllUnsent();
  // Those that are not on their way, oldest first.
  std::vector<CallId> Unsent() const;
  // Answers those that have waited too long.
  void Expire(TimePoint aNow);
  // Answers all that is left, as the process ends.
  void AnswerAll();
  bool Empty() const { return mCalls.empty(); }

private:
  struct Call
  {
    CallerRequest mRequest;
    CallerReply mReply;
    TimePoint mArrivedAt;
    bool mSent = false;
    SendId mSend;
    // An owner may have taken it in.
    bool mEverSent = false;
  };

  void Finish(CallId aId, const CallerAnswer& aAnswer);
  static CallerAnswer AnswerWithoutOwner(const Call& aCall);

  std::map<CallId, Call> mCalls;
  // Newest sendings of calls.
  std::map<SendId, CallId> mSends;
  CallId mLastId;
  SendId mLastSend;
};

} // namespace oriolevane::cellnode
