// Messages of the size that the cells exchange.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "codec/types/peermessage.h"

namespace oriolevane::wirebench {

struct Sample
{
  std::string mName;
  codec::PeerMessage mMessage;
};

codec::Heartbeat
MakeHeartbeat(std::size_t aDigests, std::size_t aPartitions);

std::vector<Sample>
MakeSamples();

} // namespace oriolevane::wirebench
