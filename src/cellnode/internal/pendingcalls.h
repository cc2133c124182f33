// Holds the requests of callers at the node that received them, until they are
// answered.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cellnode/types/caller.h"
#include "cellnode/types/requestids.h"
#include "framework/types/ids.h"
#include "framework/types/timepoint.h"

namespace oriolevane::cellnode {

using CallId = NumberId<struct CallIdTag, std::uint64_t>;
// Identifies one transmission of a call. A call that is sent again gets a new
// id.
using SendId = NumberId<struct SendIdTag, std::uint64_t>;

// Requests are sent to the owner of the shard, and sent again to the next owner
// if it changes. Deterministic.
class PendingCalls
{
public:
  // The ids of transmissions belong to the process aIncarnation.
  explicit PendingCalls(Incarnation aIncarnation)
    : mSendIds(RequestIds<SendId>::OfProcess(aIncarnation))
  {
  }

  CallId Add(CallerRequest aRequest, AnswerCallback aReply, TimePoint aNow);
  const CallerRequest* Find(CallId aId) const;
  // Returns the id for the next transmission.
  SendId NextSendId() { return mSendIds.Next(); }
  // False for a transmission of another process.
  bool HasSent(SendId aSend) const { return mSendIds.HasIssued(aSend); }
  // Notes that the request was sent to a node that owns the shard.
  void MarkSent(CallId aId, SendId aSend, const NodeId& aTo);
  // Takes an answer to the newest transmission of a request and ignores answers
  // to earlier ones: what an earlier owner refuses, the next one may have
  // accepted. Both owners can be the same node in different epochs, so the node
  // alone does not tell them apart.
  void Answer(SendId aSend, const CallerAnswer& aAnswer);
  // Marks all requests to be sent again, because the owner was lost.
  void MarkAllUnsent();
  // Returns the calls to send, oldest first.
  std::vector<CallId> Unsent() const;
  // Answers the requests whose time limit has passed.
  void Expire(TimePoint aNow);
  // Answers all remaining requests, before the process exits.
  void AnswerAll();
  bool Empty() const { return mCalls.empty(); }

private:
  struct Call
  {
    CallerRequest mRequest;
    AnswerCallback mReply;
    TimePoint mArrivedAt;
    bool mSent = false;
    SendId mSend;
    // True once the request was sent to an owner, which may have accepted it.
    bool mEverSent = false;
  };

  void Finish(CallId aId, const CallerAnswer& aAnswer);
  static CallerAnswer AnswerWithoutOwner(const Call& aCall);

  std::map<CallId, Call> mCalls;
  // Maps the newest transmission of each call to the call.
  std::map<SendId, CallId> mSends;
  CallId mLastId;
  RequestIds<SendId> mSendIds;
};

} // namespace oriolevane::cellnode
