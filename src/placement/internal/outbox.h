// Collects the actions of one call of a placer.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "placement/internal/attempt.h"
#include "placement/types/placeraction.h"

namespace oriolevane::placement {

class Outbox
{
public:
  Outbox(ShardId aShard, Epoch aEpoch)
    : mShard(aShard)
    , mEpoch(aEpoch)
  {
  }

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
  // Tells the coordinator the attempt's state. aWorker is empty when no worker
  // has it.
  void SendState(const Attempt& aAttempt, const WorkerId& aWorker);
  void Note(const RequestId& aRequest,
            std::string aEvent,
            std::string aDetail = {})
  {
    Add(TrailNote{ .mRequest = aRequest,
                   .mEvent = std::move(aEvent),
                   .mDetail = std::move(aDetail) });
  }
  std::vector<PlacerAction> Take() { return std::exchange(mActions, {}); }
  void Clear() { mActions.clear(); }

private:
  ShardId mShard;
  Epoch mEpoch;
  std::vector<PlacerAction> mActions;
};

} // namespace oriolevane::placement
