// Everything that is said between two nodes.
#pragma once

#include <cstddef>
#include <string_view>
#include <variant>

#include "codec/types/configurationmessages.h"
#include "codec/types/envelope.h"
#include "codec/types/heartbeat.h"
#include "protocol/types/callermessages.h"
#include "protocol/types/placermessages.h"
#include "protocol/types/sharddigest.h"

namespace oriolevane::codec {

using PeerMessage = std::variant<protocol::ToPlacer,
                                 protocol::ToCoordinator,
                                 protocol::ShardDigest,
                                 protocol::CallerCall,
                                 protocol::CallerReply,
                                 Heartbeat,
                                 ConfigurationPull,
                                 ConfigurationBody>;

struct PeerFrame
{
  Envelope mEnvelope;
  PeerMessage mMessage;

  bool operator==(const PeerFrame&) const = default;
};

// Kinds of messages, for counters.
constexpr std::size_t kMessageKinds = std::variant_size_v<PeerMessage>;

// The name of the kind with this index in PeerMessage.
std::string_view
MessageKindName(std::size_t aIndex);

} // namespace oriolevane::codec
