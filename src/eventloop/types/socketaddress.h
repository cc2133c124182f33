// IPv4 socket addresses.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oriolevane::eventloop {

// An IPv4 address in dotted notation with a port.
struct SocketAddress
{
  std::string mHost;
  std::uint16_t mPort = 0;

  auto operator<=>(const SocketAddress&) const = default;
  // Formats the address as "HOST:PORT".
  std::string ToText() const;
};

// Parses "IPV4:PORT". Returns nothing when the text has another form.
std::optional<SocketAddress>
ParseSocketAddress(std::string_view aText);

} // namespace oriolevane::eventloop
