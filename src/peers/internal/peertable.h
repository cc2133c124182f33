// The nodes known to a mesh: which to dial when, and which connection each is
// spoken to over. Deterministic: no sockets, no clock.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "peers/internal/dialbackoff.h"
#include "peers/types/peermember.h"
#include "peers/types/peermeshoptions.h"

namespace oriolevane::peers {

// Numbers a connection of the mesh.
using ConnectionId = std::uint64_t;

// A connection whose other end has introduced itself.
struct Introduction
{
  ConnectionId mConnection = 0;
  NodeId mPeer;
  Incarnation mIncarnation;
  bool mDialled = false;
};

enum class Verdict
{
  // No connection with this process of the peer was there.
  FirstConnection,
  // Takes the place of an older connection with the same process.
  Replaces,
  // Takes the place of a connection with an earlier process of the peer.
  NewIncarnation,
  Rejected
};

class PeerTable
{
public:
  explicit PeerTable(const PeerMeshOptions& aOptions);

  void SetMembers(const std::vector<PeerMember>& aMembers, TimePoint aNow);
  // Members to dial now; each counts as being dialled until DialEnded.
  std::vector<PeerMember> TakeDue(TimePoint aNow);
  // The dial failed, or its connection was introduced or closed.
  void DialEnded(const NodeId& aPeer, bool aSucceeded, TimePoint aNow);

  // Which of two connections with one peer stays: that of the newer process;
  // else the one dialled by the lower id, unless the existing one is doubtful
  // (nothing came in for a while); else the newer one. Both ends come to the
  // same verdict.
  Verdict Introduce(const Introduction& aNew, bool aExistingIsDoubtful);
  // The connection that the peer is spoken to over.
  std::optional<ConnectionId> Current(const NodeId& aPeer) const;
  // Returns the introduction when it was its peer's current connection.
  std::optional<Introduction> ConnectionClosed(const NodeId& aPeer,
                                               ConnectionId aConnection,
                                               TimePoint aNow);

private:
  struct Peer
  {
    std::optional<PeerMember> mMember;
    std::optional<Introduction> mCurrent;
    DialBackoff mBackoff;
    bool mDialling = false;
    TimePoint mDialAt;
  };

  Peer& Entry(const NodeId& aPeer);
  void ScheduleDial(Peer& aPeer,
                    TimePoint aNow,
                    std::chrono::milliseconds aWait);
  bool IsDialledByLower(const Introduction& aConnection) const;

  const PeerMeshOptions mOptions;
  std::mt19937_64 mRandom;
  std::map<NodeId, Peer> mPeers;
};

} // namespace oriolevane::peers
