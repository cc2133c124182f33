// Decides whether the owner before this node is known to have stopped, so that
// it starts no tasks and renews no leases any more.
//
// A process that answers under the former owner's name is no proof by itself:
// the former one may go on, paused or cut off, while the node runs again
// elsewhere. But a node listens on its peer address from before it sends
// anything until its event loop has ended, and only one process can listen on
// an address.
#pragma once

#include <optional>
#include <string>

#include "cellnode/types/ownerrow.h"

namespace oriolevane::cellnode {

// A process of a node.
struct NodeProcess
{
  NodeId mNode;
  Incarnation mIncarnation;
  // The address, as "IP:PORT", on which it listens for other nodes.
  std::string mAddress;
};

// What the process that is linked under the former owner's name has said.
struct LinkedProcess
{
  NodeProcess mProcess;
  // The highest epoch in which it does not own the shard any more.
  Epoch mLeftEpoch;
  // An epoch that had begun before it sent its last hello. An incarnation does
  // not tell which process is the later one, since it is a time of day.
  Epoch mSeenInEpoch;
};

// True when aProcess belongs to the owner that the row names.
inline bool
IsOwnerProcess(const OwnerRow& aOwner, const NodeProcess& aProcess)
{
  return aProcess.mNode == aOwner.mNode &&
         aProcess.mIncarnation == aOwner.mIncarnation;
}

// True when another process of the owner's node listens, or has listened, on
// the address that the row names.
inline bool
HasOwnerAddress(const OwnerRow& aOwner, const NodeProcess& aProcess)
{
  return aProcess.mNode == aOwner.mNode &&
         aProcess.mAddress == aOwner.mAddress && !aOwner.mAddress.empty();
}

// True when the owner that the row names is known to have been the only one.
// Otherwise the owners before it may go on when it has stopped.
inline bool
WasOnlyOwner(const OwnerRow& aOwner)
{
  return aOwner.mRecovered || aOwner.mEarlierOwnersGone;
}

// True when the row alone shows that its owner, and all before it, have
// stopped. The row is nullopt when there was no owner.
inline bool
HaveAllStopped(const std::optional<OwnerRow>& aOwner)
{
  return !aOwner.has_value() || (aOwner->mReleased && WasOnlyOwner(*aOwner));
}

// True when the predecessor, and all owners before it, are known to have
// stopped. aPredecessor is empty when there was none; aLinked, when no process
// is linked under its name. aOwn is this process, which does not own the shard
// in the predecessor's epoch any more.
inline bool
IsPredecessorGone(const std::optional<OwnerRow>& aPredecessor,
                  const NodeProcess& aOwn,
                  const std::optional<LinkedProcess>& aLinked)
{
  if (HaveAllStopped(aPredecessor)) {
    return true;
  }
  if (!WasOnlyOwner(*aPredecessor)) {
    return false;
  }
  if (IsOwnerProcess(*aPredecessor, aOwn) ||
      HasOwnerAddress(*aPredecessor, aOwn)) {
    return true;
  }
  if (!aLinked.has_value()) {
    return false;
  }
  if (IsOwnerProcess(*aPredecessor, aLinked->mProcess)) {
    return aLinked->mLeftEpoch >= aPredecessor->mEpoch;
  }
  // A process from before the predecessor had ended when that one began.
  return HasOwnerAddress(*aPredecessor, aLinked->mProcess) &&
         aLinked->mSeenInEpoch >= aPredecessor->mEpoch;
}

} // namespace oriolevane::cellnode
