// What the proxy does to the connections of one link.
#pragma once

#include <chrono>
#include <cstdint>

namespace oriolevane::faultproxy {

enum class LinkMode : std::uint8_t
{
  Pass,
  // Existing connections are reset, new ones are closed at once.
  Cut,
  // New connections are accepted and neither carried on nor answered.
  HalfOpen
};

struct LinkFaults
{
  LinkMode mMode = LinkMode::Pass;
  // Nothing is carried from the client to the target, or back; what was sent
  // meanwhile follows when the fault ends.
  bool mSilentUp = false;
  bool mSilentDown = false;
  // Each piece is delayed by mDelay and a random time up to mJitter, in order.
  std::chrono::milliseconds mDelay{ 0 };
  std::chrono::milliseconds mJitter{ 0 };
  // In each direction of each connection; zero for no bound.
  std::uint64_t mBytesPerSecond = 0;
};

} // namespace oriolevane::faultproxy
