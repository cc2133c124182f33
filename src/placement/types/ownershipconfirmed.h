// Event: whether this placer may take itself for the owner of its shard.
#pragma once

namespace oriolevane::placement {

// False while the node could not renew its lease for so long that another node
// may own the shard. A new owner may renew tasks on a worker that is silent to
// this one, so no lease is then judged to have lapsed.
struct OwnershipConfirmed
{
  bool mConfirmed = true;
};

} // namespace oriolevane::placement
