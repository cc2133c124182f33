// What the connections between nodes tell their owner.
#pragma once

#include <functional>

#include "codec/types/peermessage.h"
#include "framework/types/ids.h"

namespace oriolevane::peers {

enum class PeerState
{
  Up,
  Down
};

// Called on the mesh's own thread; must not block.
struct PeerMeshHooks
{
  // The envelope is that of the connection's hello.
  std::function<void(const codec::Envelope&, codec::PeerMessage)> mOnMessage;
  std::function<void(const NodeId&, Incarnation, PeerState)> mOnPeerState;
};

} // namespace oriolevane::peers
