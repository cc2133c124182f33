// Converts values of the node to messages between nodes, and back.
#pragma once

#include "cellnode/internal/peercodec.h"
#include "cellnode/types/caller.h"
#include "framework/types/timepoint.h"
#include "jobs/types/orders.h"

namespace oriolevane::cellnode {

// Converts to whole milliseconds, limited to the range of the message field.
std::uint32_t
ToWireMillis(Duration aTime);

cellwire::CallerRequestT
ToWire(std::uint64_t aId, const CallerRequest& aRequest);
CallerRequest
FromWire(const cellwire::CallerRequestT& aCall);

cellwire::CallerAnswerT
ToWire(std::uint64_t aId, const CallerAnswer& aAnswer);
CallerAnswer
FromWire(const cellwire::CallerAnswerT& aAnswer);

cellwire::AdviceQueryT
ToWire(std::uint64_t aId, const jobs::AdviceQuery& aQuery);
jobs::AdviceQuery
FromWire(const cellwire::AdviceQueryT& aQuery);

// Builds the answer to aQuery.
// The answer does not repeat the workers of the query.
cellwire::AdviceAnswerT
ToWire(const cellwire::AdviceQueryT& aQuery, const jobs::AdviceAnswer& aAnswer);
jobs::AdviceAnswer
FromWire(const cellwire::AdviceAnswerT& aAnswer);

} // namespace oriolevane::cellnode
