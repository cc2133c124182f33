// Names the process that a call came from.
#pragma once

#include <compare>

#include "framework/types/ids.h"

namespace oriolevane::coordination {

// The node whose gateway holds the caller's connection. The incarnation keeps a
// restarted node from being taken for its predecessor.
struct CallOrigin
{
  NodeId mNode;
  Incarnation mIncarnation;

  auto operator<=>(const CallOrigin&) const = default;
};

} // namespace oriolevane::coordination
