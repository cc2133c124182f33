// A node that connections are to be kept up with.
#pragma once

#include <string>

#include "framework/types/ids.h"

namespace oriolevane::peers {

struct PeerMember
{
  NodeId mNode;
  Incarnation mIncarnation;
  // IP and port.
  std::string mAddress;

  bool operator==(const PeerMember&) const = default;
};

} // namespace oriolevane::peers
