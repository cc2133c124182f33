// Who owns each request partition and worker shard, as learnt from heartbeats.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "framework/types/ids.h"

namespace oriolevane::node {

struct Owner
{
  NodeId mNode;
  Incarnation mIncarnation;
  Epoch mEpoch;

  bool operator==(const Owner&) const = default;
};

// Knowledge only moves forward by epoch, so that a late heartbeat of an earlier
// owner changes nothing.
class OwnerDirectory
{
public:
  explicit OwnerDirectory(std::size_t aCount);

  // Returns true when the owner or epoch changed.
  bool Learn(std::uint32_t aIndex, const Owner& aOwner);
  // The owner said itself that it no longer owns this epoch.
  void Forget(std::uint32_t aIndex, Epoch aEpoch);
  // Forgets the node's ownerships: it is known to be gone.
  void ForgetNode(const NodeId& aNode);

  std::optional<Owner> Find(std::uint32_t aIndex) const;
  std::size_t Size() const { return mOwners.size(); }

private:
  std::vector<Owner> mOwners;
};

} // namespace oriolevane::node
