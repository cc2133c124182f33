// Limits of the gateway.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace oriolevane::gateway {

struct GatewayOptions
{
  // IP and port; port 0 lets the system choose.
  std::string mAddress;
  std::size_t mMaxBodyBytes = 1'048'576;
  // Connections that are served at a time; a waiting caller holds one.
  std::uint32_t mThreads = 256;
  // Of these, how many are kept free for calls that do not wait; at most a
  // quarter of the threads.
  std::uint32_t mThreadsForShortCalls = 32;
  // Connections beyond the threads, waiting to be served.
  std::uint32_t mQueuedConnections = 256;
  // A caller that waits longer is told that the outcome is not known yet.
  std::chrono::milliseconds mCallerTimeout{ 60'000 };
  // A request's body must have arrived after this, and headers and body
  // together after twice this.
  std::chrono::milliseconds mBodyTimeout{ 5'000 };
  // A connection that sends nothing for this long is closed.
  std::chrono::milliseconds mIdleTimeout{ 10'000 };
};

} // namespace oriolevane::gateway
