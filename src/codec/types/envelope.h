// Who sent a message between nodes.
#pragma once

#include "framework/types/ids.h"

namespace oriolevane::codec {

// Empty on connections whose hello has said it already.
struct Envelope
{
  NodeId mFrom;
  Incarnation mFromIncarnation;

  bool operator==(const Envelope&) const = default;
};

} // namespace oriolevane::codec
