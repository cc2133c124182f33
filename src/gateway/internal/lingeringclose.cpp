#include "gateway/internal/lingeringclose.h"

#include <array>

#include "framework/types/timepoint.h"

namespace oriolevane::gateway {

namespace {

// How long a caller may still send after it has been refused.
constexpr std::chrono::milliseconds kLingerLimit{ 500 };
constexpr std::size_t kReadChunkBytes = 8'192;

} // namespace

void
DrainBeforeClose(Poco::Net::SocketImpl& aSocket)
{
  aSocket.shutdownSend();
  const TimePoint end = std::chrono::steady_clock::now() + kLingerLimit;
  std::array<char, kReadChunkBytes> chunk{};
  int taken = 1;
  while (taken > 0) {
    const auto left = std::chrono::duration_cast<std::chrono::microseconds>(
      end - std::chrono::steady_clock::now());
    const bool readable =
      left.count() > 0 && aSocket.poll(Poco::Timespan(left.count()),
                                       Poco::Net::SocketImpl::SELECT_READ);
    taken = readable ? aSocket.receiveBytes(chunk.data(),
                                            static_cast<int>(chunk.size()))
                     : 0;
  }
}

} // namespace oriolevane::gateway
