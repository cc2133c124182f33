// The calls between gateways and coordinators, to and from a frame's buffer.
#pragma once

#include "codec/internal/wirereader.h"
#include "codec/internal/wirewriter.h"
#include "protocol/types/callermessages.h"

namespace oriolevane::codec {

Offset<wire::CallerCall>
Write(FlatBufferBuilder& aBuilder, const protocol::CallerCall& aMessage);
Offset<wire::CallerReply>
Write(FlatBufferBuilder& aBuilder, const protocol::CallerReply& aMessage);

protocol::CallerCall
Read(WireReader& aReader, const wire::CallerCall& aTable);
protocol::CallerReply
Read(WireReader& aReader, const wire::CallerReply& aTable);

} // namespace oriolevane::codec
