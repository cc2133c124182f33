// Bounds of what the clients of a process's HTTP servers may take of it, and
// counts of what the bounds have closed.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>

namespace oriolevane::eventloop {

// Why a server closed a connection that its client wanted to keep.
enum class CloseReason
{
  // The server had as many connections as it may have.
  TooManyConnections,
  // The servers of the process held more bytes for their clients than they may,
  // and this connection held most.
  TooMuchBuffered,
  // A request did not arrive whole in time.
  RequestTimeout,
  // The client did not take a response in time.
  ResponseTimeout
};

// Returns the name of the reason in logs and metrics.
std::string_view
ToText(CloseReason aReason);

// Bounds that all servers of a process share.
struct ConnectionLimits
{
  // Of requests that have not been answered and of responses that have not been
  // sent, in bytes.
  std::size_t mMaxBufferedBytes = 32U << 20U;
  // From the first byte of a request until it has arrived whole.
  std::chrono::milliseconds mRequestTimeout{ 10'000 };
  // From the response to a request until all of it has been sent.
  std::chrono::milliseconds mResponseTimeout{ 10'000 };
};

struct ConnectionCounts
{
  std::size_t mOpen = 0;
  std::size_t mBufferedBytes = 0;
  // Every reason has an entry.
  std::map<CloseReason, std::uint64_t> mClosed;
};

} // namespace oriolevane::eventloop
