// The messages between coordinators and placers, to and from a frame's buffer.
#pragma once

#include "codec/internal/wirereader.h"
#include "codec/internal/wirewriter.h"
#include "protocol/types/placermessages.h"

namespace oriolevane::codec {

Offset<wire::PlaceTasks>
Write(FlatBufferBuilder& aBuilder, const protocol::PlaceTasks& aMessage);
Offset<wire::CommitHold>
Write(FlatBufferBuilder& aBuilder, const protocol::CommitHold& aMessage);
Offset<wire::CancelTasks>
Write(FlatBufferBuilder& aBuilder, const protocol::CancelTasks& aMessage);
Offset<wire::UpdateAck>
Write(FlatBufferBuilder& aBuilder, const protocol::UpdateAck& aMessage);
Offset<wire::ReconcileQuery>
Write(FlatBufferBuilder& aBuilder, const protocol::ReconcileQuery& aMessage);
Offset<wire::TaskUpdate>
Write(FlatBufferBuilder& aBuilder, const protocol::TaskUpdate& aMessage);
Offset<wire::TasksHeld>
Write(FlatBufferBuilder& aBuilder, const protocol::TasksHeld& aMessage);
Offset<wire::ReconcileAnswer>
Write(FlatBufferBuilder& aBuilder, const protocol::ReconcileAnswer& aMessage);

protocol::PlaceTasks
Read(WireReader& aReader, const wire::PlaceTasks& aTable);
protocol::CommitHold
Read(WireReader& aReader, const wire::CommitHold& aTable);
protocol::CancelTasks
Read(WireReader& aReader, const wire::CancelTasks& aTable);
protocol::UpdateAck
Read(WireReader& aReader, const wire::UpdateAck& aTable);
protocol::ReconcileQuery
Read(WireReader& aReader, const wire::ReconcileQuery& aTable);
protocol::TaskUpdate
Read(WireReader& aReader, const wire::TaskUpdate& aTable);
protocol::TasksHeld
Read(WireReader& aReader, const wire::TasksHeld& aTable);
protocol::ReconcileAnswer
Read(WireReader& aReader, const wire::ReconcileAnswer& aTable);

} // namespace oriolevane::codec
