#include "node/ownerdirectory.h"

namespace oriolevane::node {

OwnerDirectory::OwnerDirectory(std::size_t aCount)
  : mOwners(aCount)
{
}

bool
OwnerDirectory::Learn(std::uint32_t aIndex, const Owner& aOwner)
{
  if (aIndex >= mOwners.size()) {
    return false;
  }
  Owner& known = mOwners[aIndex];
  const bool forgotten = known.mNode.Empty() && known.mEpoch == aOwner.mEpoch;
  if (aOwner.mEpoch <= known.mEpoch && !forgotten) {
    return false;
  }
  known = aOwner;
  return true;
}

void
OwnerDirectory::Forget(std::uint32_t aIndex, Epoch aEpoch)
{
  if (aIndex < mOwners.size() && mOwners[aIndex].mEpoch == aEpoch) {
    mOwners[aIndex].mNode = NodeId();
  }
}

void
OwnerDirectory::ForgetNode(const NodeId& aNode)
{
  for (Owner& owner : mOwners) {
    if (owner.mNode == aNode) {
      owner.mNode = NodeId();
    }
  }
}

std::optional<Owner>
OwnerDirectory::Find(std::uint32_t aIndex) const
{
  if (aIndex >= mOwners.size() || mOwners[aIndex].mNode.Empty()) {
    return std::nullopt;
  }
  return mOwners[aIndex];
}

} // namespace oriolevane::node
