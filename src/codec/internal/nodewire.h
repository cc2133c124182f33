// What nodes tell about themselves, to and from a frame's buffer.
#pragma once

#include "codec/internal/wirereader.h"
#include "codec/internal/wirewriter.h"
#include "codec/types/configurationmessages.h"
#include "codec/types/heartbeat.h"
#include "protocol/types/sharddigest.h"

namespace oriolevane::codec {

Offset<wire::ShardDigest>
Write(FlatBufferBuilder& aBuilder, const protocol::ShardDigest& aMessage);
Offset<wire::Heartbeat>
Write(FlatBufferBuilder& aBuilder, const Heartbeat& aMessage);
Offset<wire::ConfigurationPull>
Write(FlatBufferBuilder& aBuilder, const ConfigurationPull& aMessage);
Offset<wire::ConfigurationBody>
Write(FlatBufferBuilder& aBuilder, const ConfigurationBody& aMessage);

protocol::ShardDigest
Read(WireReader& aReader, const wire::ShardDigest& aTable);
Heartbeat
Read(WireReader& aReader, const wire::Heartbeat& aTable);
ConfigurationPull
Read(WireReader& aReader, const wire::ConfigurationPull& aTable);
ConfigurationBody
Read(WireReader& aReader, const wire::ConfigurationBody& aTable);

} // namespace oriolevane::codec
