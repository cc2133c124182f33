// Collects the actions that one call of a placer produces.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "placement/internal/attempt.h"
#include "placement/types/placeraction.h"

namespace oriolevane::placement {

// Also builds the routes of messages to coordinators.
class Outbox
{
public:
  Outbox(ShardId aShard, Epoch aEpoch)
    : mShard(aShard)
    , mEpoch(aEpoch)
  {
  }

  // Returns the route of a message to the coordinator of the partition.
  protocol::Route RouteTo(PartitionId aPartition) const
  {
    return { .mPartition = aPartition,
             .mShard = mShard,
             .mSenderEpoch = mEpoch };
  }
  void Add(PlacerAction aAction) { mActions.push_back(std::move(aAction)); }
  void Send(protocol::ToCoordinator aMessage)
  {
    Add(SendToCoordinator{ .mMessage = std::move(aMessage) });
  }
  // Sends the attempt's state to its coordinator. aWorker is empty when the
  // attempt is on no worker.
  void SendState(const Attempt& aAttempt, const WorkerId& aWorker);
  // Adds an entry to the trail of the request.
  void AddTrailNote(const RequestId& aRequest,
                    std::string aEvent,
                    std::string aDetail = {})
  {
    Add(TrailNote{ .mRequest = aRequest,
                   .mEvent = std::move(aEvent),
                   .mDetail = std::move(aDetail) });
  }
  // Returns the collected actions in order and clears the list.
  std::vector<PlacerAction> Take() { return std::exchange(mActions, {}); }
  void Clear() { mActions.clear(); }

private:
  ShardId mShard;
  Epoch mEpoch;
  std::vector<PlacerAction> mActions;
};

} // namespace oriolevane::placement
