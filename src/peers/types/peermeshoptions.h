// Settings of the connections between nodes.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "framework/types/ids.h"

namespace oriolevane::peers {

struct PeerMeshOptions
{
  NodeId mNode;
  Incarnation mIncarnation;
  // IP and port; port 0 takes a free one.
  std::string mListen = "127.0.0.1:0";
  // A connection on which nothing was sent for this long gets a ping.
  std::chrono::milliseconds mPingInterval{ 500 };
  // A connection on which nothing came in for this long is closed.
  std::chrono::milliseconds mSilenceLimit{ 2000 };
  // A connection whose other end took none of the waiting bytes for this long
  // is closed.
  std::chrono::milliseconds mStallLimit{ 5000 };
  // Of a pair the node with the lower id dials; the other one does so only
  // after this time without a connection.
  std::chrono::milliseconds mDialGrace{ 1000 };
  // Bounds of the backoff between two dials, before jitter.
  std::chrono::milliseconds mLeastBackoff{ 100 };
  std::chrono::milliseconds mMostBackoff{ 5000 };
  // Further connections are closed as soon as they are accepted.
  std::size_t mMaxConnections = 256;
  // Bounds of what waits to be sent to one peer.
  std::size_t mQueueFrames = 2048;
  std::size_t mQueueBytes = 8UL * 1024 * 1024;
  // Bound of all partly received frames together, in bytes.
  std::size_t mMaxPartialBytes = 32UL * 1024 * 1024;
  // Seed of the jitter.
  std::uint64_t mSeed = 1;
};

} // namespace oriolevane::peers
