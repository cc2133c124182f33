// Translates calls to workers, and their answers, between the scheduler's types
// and the messages between nodes.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "cellpeer_generated.h"
#include "framework/types/timepoint.h"
#include "jobs/types/orders.h"

namespace oriolevane::cellnode {

// The payload of the order is not part of the call.
cellwire::StartCallT
ToWire(std::uint64_t aId, const jobs::StartOrder& aOrder, Duration aTimeout);
cellwire::StopCallT
ToWire(std::uint64_t aId, const jobs::StopOrder& aOrder, Duration aTimeout);
// aTimeout includes the wait of the poll.
cellwire::PollCallT
ToWire(std::uint64_t aId, const jobs::PollOrder& aOrder, Duration aTimeout);
// Return nothing when the task of the call is not readable. The order to start
// a task has no payload yet.
std::optional<jobs::StartOrder>
FromWire(const cellwire::StartCallT& aCall);
std::optional<jobs::StopOrder>
FromWire(const cellwire::StopCallT& aCall);
jobs::PollOrder
FromWire(const cellwire::PollCallT& aCall);

cellwire::OrderReplyT
ToWire(std::uint64_t aId, const jobs::OrderAnswer& aAnswer);
cellwire::PollReplyT
ToWire(std::uint64_t aId, const jobs::PollAnswer& aAnswer);
// A result that is not known is read as Unknown. A report with an unreadable
// task is read as an answer that is missing, because an incomplete report would
// show runs as gone.
jobs::OrderAnswer
FromWire(const cellwire::OrderReplyT& aReply);
jobs::PollAnswer
FromWire(const cellwire::PollReplyT& aReply);

} // namespace oriolevane::cellnode
