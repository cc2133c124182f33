#include "eventloop/internal/socketoptions.h"

#include <charconv>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <fmt/format.h>

namespace oriolevane::eventloop {

std::string
SocketAddress::ToText() const
{
  return fmt::format("{}:{}", mHost, mPort);
}

std::optional<SocketAddress>
ParseSocketAddress(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  SocketAddress address;
  address.mHost = std::string(aText.substr(0, colon));
  const std::string_view port = aText.substr(colon + 1);
  const auto [end, error] =
    std::from_chars(port.data(), port.data() + port.size(), address.mPort);
  sockaddr_in ignored{};
  if (error != std::errc() || end != port.data() + port.size() ||
      !ToSockaddr(address, ignored)) {
    return std::nullopt;
  }
  return address;
}

void
SetStreamOptions(int aSocket, Duration aUserTimeout)
{
  const int on = 1;
  const int limit = static_cast<int>(
    std::chrono::duration_cast<std::chrono::milliseconds>(aUserTimeout)
      .count());
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
}

void
SetBufferSizes(int aSocket, int aBytes)
{
  setsockopt(aSocket, SOL_SOCKET, SO_RCVBUF, &aBytes, sizeof(aBytes));
  setsockopt(aSocket, SOL_SOCKET, SO_SNDBUF, &aBytes, sizeof(aBytes));
}

bool
ToSockaddr(const SocketAddress& aAddress, sockaddr_in& aResult)
{
  aResult = {};
  aResult.sin_family = AF_INET;
  aResult.sin_port = htons(aAddress.mPort);
  return inet_pton(AF_INET, aAddress.mHost.c_str(), &aResult.sin_addr) == 1;
}

} // namespace oriolevane::eventloop
