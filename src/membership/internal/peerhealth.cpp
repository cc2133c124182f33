#include "membership/peerhealth.h"

namespace oriolevane::membership {

PeerHealth::PeerHealth(PeerHealthOptions aOptions)
  : mOptions(aOptions)
{
}

void
PeerHealth::OnHeartbeat(const NodeId& aNode,
                        Incarnation aIncarnation,
                        TimePoint aNow)
{
  const auto known = mPeers.find(aNode);
  if (known == mPeers.end() || known->second.mIncarnation != aIncarnation) {
    mPeers[aNode] = { .mIncarnation = aIncarnation,
                      .mLastHeartbeat = aNow,
                      .mInARow = 1 };
    return;
  }
  Peer& peer = known->second;
  NoteSilence(peer, aNow);
  peer.mLastHeartbeat = aNow;
  ++peer.mInARow;
  if (peer.mInARow >= mOptions.mAliveAfter) {
    peer.mSuspect = false;
  }
}

PeerState
PeerHealth::State(const NodeId& aNode, TimePoint aNow)
{
  const auto known = mPeers.find(aNode);
  if (known == mPeers.end()) {
    return PeerState::Unknown;
  }
  NoteSilence(known->second, aNow);
  return known->second.mSuspect ? PeerState::Suspect : PeerState::Alive;
}

void
PeerHealth::Forget(const NodeId& aNode)
{
  mPeers.erase(aNode);
}

void
PeerHealth::NoteSilence(Peer& aPeer, TimePoint aNow) const
{
  if (aNow - aPeer.mLastHeartbeat > mOptions.mSuspectAfter) {
    aPeer.mSuspect = true;
    aPeer.mInARow = 0;
  }
}

} // namespace oriolevane::membership
