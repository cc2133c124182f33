// How the two ends of a new connection introduce themselves.
#pragma once

#include <cstdint>

#include "framework/types/ids.h"

namespace oriolevane::codec {

// Rises with each change that older nodes can't read.
constexpr std::uint32_t kProtocolVersion = 1;

struct Hello
{
  std::uint32_t mProtocolVersion = kProtocolVersion;
  NodeId mNode;
  Incarnation mIncarnation;

  bool operator==(const Hello&) const = default;
};

} // namespace oriolevane::codec
