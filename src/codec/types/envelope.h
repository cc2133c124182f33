// Who sent a message between nodes.
#pragma once

#include "framework/types/ids.h"

namespace oriolevane::codec {

struct Envelope
{
  NodeId mFrom;
  Incarnation mFromIncarnation;

  bool operator==(const Envelope&) const = default;
};

} // namespace oriolevane::codec
