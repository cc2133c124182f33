// An IPv4 address with a port.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oriolevane::eventloop {

struct SocketAddress
{
  std::string mHost;
  std::uint16_t mPort = 0;

  auto operator<=>(const SocketAddress&) const = default;
  // "HOST:PORT".
  std::string ToText() const;
};

// Nothing when the text is not "IPV4:PORT".
std::optional<SocketAddress>
ParseSocketAddress(std::string_view aText);

} // namespace oriolevane::eventloop
