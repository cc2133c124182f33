// Event: whether the node can be sure that it still owns the shard.
#pragma once

namespace oriolevane::placement {

// Tells the placer whether it may rely on being the owner of its shard.
struct OwnershipConfirmation
{
  // False when the node has failed to renew its lease for so long that another
  // node may own the shard. The placer then does not treat any task lease as
  // lapsed, because a new owner may renew the leases of a worker that this node
  // cannot reach.
  bool mConfirmed = true;
};

} // namespace oriolevane::placement
