// Judges peers by application-level heartbeats. Suspicion only steers traffic
// and asks for an earlier read of the table; it never takes anything away.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"

namespace oriolevane::membership {

enum class PeerState
{
  // Never heard of.
  Unknown,
  Alive,
  Suspect
};

struct PeerHealthOptions
{
  // Silence after which a peer is suspect.
  std::chrono::milliseconds mSuspectAfter{ 3'000 };
  // Heartbeats in a row, none later than mSuspectAfter, that clear a suspect.
  std::uint32_t mAliveAfter = 2;
};

// Deterministic.
class PeerHealth
{
public:
  explicit PeerHealth(PeerHealthOptions aOptions = {});

  // A heartbeat of another incarnation starts afresh as alive.
  void OnHeartbeat(const NodeId& aNode,
                   Incarnation aIncarnation,
                   TimePoint aNow);
  PeerState State(const NodeId& aNode, TimePoint aNow);
  void Forget(const NodeId& aNode);

private:
  struct Peer
  {
    Incarnation mIncarnation;
    TimePoint mLastHeartbeat;
    std::uint32_t mInARow = 0;
    bool mSuspect = false;
  };

  void NoteSilence(Peer& aPeer, TimePoint aNow) const;

  PeerHealthOptions mOptions;
  std::map<NodeId, Peer> mPeers;
};

} // namespace oriolevane::membership
