// What went over the connections between nodes since the start.
#pragma once

#include <array>
#include <cstdint>

#include "codec/types/peermessage.h"

namespace oriolevane::peers {

struct Traffic
{
  std::uint64_t mFrames = 0;
  // With the length prefixes, without TCP and IP headers.
  std::uint64_t mBytes = 0;
};

struct TrafficCounters
{
  // By index of codec::PeerMessage.
  std::array<Traffic, codec::kMessageKinds> mIn{};
  std::array<Traffic, codec::kMessageKinds> mOut{};
  // Hellos and pings.
  Traffic mControlIn;
  Traffic mControlOut;
  // Messages that Send refused.
  std::uint64_t mRefused = 0;
  // Messages that waited when their connection was lost.
  std::uint64_t mDropped = 0;
  std::uint64_t mConnectionsOpened = 0;
  std::uint64_t mConnectionsClosed = 0;
};

} // namespace oriolevane::peers
