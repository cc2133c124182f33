// Sends the owner's calls to workers through relays, in batches, and passes on
// the answers. Calls that have no relay are made directly.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <variant>

#include "cellnode/internal/recentjobs.h"
#include "cellnode/relayselector.h"
#include "cellnode/types/nodehooks.h"
#include "cellnode/types/requestids.h"
#include "cellpeer_generated.h"

namespace oriolevane::cellnode {

using RelayedCallId = NumberId<struct RelayedCallIdTag, std::uint64_t>;

struct RelayedCallsHooks
{
  // The calls that the owner makes itself.
  UpstreamHooks mDirect;
  // Sends a batch to a node. A batch that cannot be sent is lost, and its calls
  // end without an answer.
  std::function<void(const NodeId&, cellwire::WorkerCallBatchT)> mSend;
  // Requests a call of Flush() after the present events.
  std::function<void()> mRequestFlush;
  std::function<TimePoint()> mNow;
  // Called for an answer to a call of another term, which is ignored.
  std::function<void(RelayedCallId)> mOnStaleAnswer = [](RelayedCallId) {};
};

class RelayedCalls
{
public:
  // The ids of calls belong to the ownership term aEpoch.
  RelayedCalls(Epoch aEpoch,
               RelaySelectorOptions aOptions,
               RelayedCallsHooks aHooks);

  // Returns hooks that make calls through relays. They must not be used after
  // this object is destroyed.
  UpstreamHooks MakeHooks();
  // Adds a node that is willing to relay calls, or replaces what is known of
  // it.
  void AddNode(RelayNode aNode) { mSelector.AddNode(std::move(aNode)); }
  // Gives a node no further calls. Calls that it has already are not affected.
  void RetireNode(const NodeId& aNode) { mSelector.RemoveNode(aNode); }
  // Notes that the link to a node is closed. Its calls end without an answer.
  void RemoveNode(const NodeId& aNode);
  void SetWorkerCount(std::size_t aWorkers)
  {
    mSelector.SetWorkerCount(aWorkers);
  }
  // Takes answers from a relay. Answers to calls that have ended are ignored.
  void OnAnswers(const cellwire::WorkerAnswerBatchT& aAnswers);
  // Sends the collected calls.
  void Flush();
  // Ends the calls that a relay left without an answer.
  void Expire(TimePoint aNow);

private:
  using OrderDone = std::function<void(const jobs::OrderAnswer&)>;
  using PollDone = std::function<void(const jobs::PollAnswer&)>;

  struct Call
  {
    NodeId mRelay;
    TimePoint mExpiresAt;
    std::variant<OrderDone, PollDone> mDone;
  };

  RelayedCallId AddCall(const NodeId& aRelay,
                        Duration aTimeout,
                        std::variant<OrderDone, PollDone> aDone);
  cellwire::WorkerCallBatchT& BatchFor(const NodeId& aRelay);
  // Adds the payload of an order to the next batch, unless the relay has it.
  void AddPayload(const NodeId& aRelay, const jobs::StartOrder& aOrder);
  void Start(const jobs::StartOrder& aOrder,
             Duration aTimeout,
             OrderDone aDone);
  void Stop(const jobs::StopOrder& aOrder, Duration aTimeout, OrderDone aDone);
  void Poll(const jobs::PollOrder& aOrder, Duration aTimeout, PollDone aDone);
  // Removes a call that a relay has answered; nothing when it has ended.
  std::optional<Call> TakeAnswered(RelayedCallId aId);
  // Removes a call; nothing when it has ended.
  std::optional<Call> Take(RelayedCallId aId);
  void FinishWithoutAnswer(RelayedCallId aId);

  RelayedCallsHooks mHooks;
  RelaySelector mSelector;
  std::map<RelayedCallId, Call> mCalls;
  // Calls by the time at which they end without an answer.
  std::multimap<TimePoint, RelayedCallId> mExpiry;
  std::map<NodeId, cellwire::WorkerCallBatchT> mBatches;
  // The jobs whose payload each relay has.
  std::map<NodeId, RecentJobs<std::monostate>> mSentPayloads;
  RequestIds<RelayedCallId> mIds;
};

} // namespace oriolevane::cellnode
