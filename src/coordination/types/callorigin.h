// Identifies the process that a call came from.
#pragma once

#include <tuple>

#include "framework/types/ids.h"

namespace oriolevane::coordination {

// The node whose gateway holds the caller's connection. The incarnation
// distinguishes the node from its earlier and later runs under the same id.
struct CallOrigin
{
  NodeId mNode;
  Incarnation mIncarnation;

  bool operator==(const CallOrigin&) const = default;
  bool operator<(const CallOrigin& aOther) const
  {
    return std::tie(mNode, mIncarnation) <
           std::tie(aOther.mNode, aOther.mIncarnation);
  }
};

} // namespace oriolevane::coordination
