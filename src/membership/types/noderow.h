// A node's own row in the table: its lease.
#pragma once

#include <cstdint>
#include <string>

#include "framework/types/ids.h"

namespace oriolevane::membership {

// The row's version changes with each renewal; others take the lease as expired
// when it has stopped changing.
struct NodeRow
{
  NodeId mNode;
  Incarnation mIncarnation;
  // IP and port for peers.
  std::string mAddress;
  ZoneId mZone;
  std::uint64_t mRenewals = 0;
  // Stopping as planned: owns what it has not yet handed over, takes nothing.
  bool mLeaving = false;

  bool operator==(const NodeRow&) const = default;
};

} // namespace oriolevane::membership
