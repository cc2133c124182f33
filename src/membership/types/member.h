// A node whose lease has not expired, as the observer sees it.
#pragma once

#include <string>

#include "framework/types/ids.h"

namespace oriolevane::membership {

struct Member
{
  NodeId mNode;
  Incarnation mIncarnation;
  // IP and port for peers.
  std::string mAddress;
  ZoneId mZone;
  bool mLeaving = false;

  bool operator==(const Member&) const = default;
};

} // namespace oriolevane::membership
