// Converts values of the node to messages between nodes, and back.
#pragma once

#include "absl/status/statusor.h"
#include "cellnode/internal/peercodec.h"
#include "cellnode/types/caller.h"
#include "framework/types/timepoint.h"
#include "jobs/types/orders.h"

namespace oriolevane::cellnode {

// Converts to whole milliseconds, limited to the range of the message field.
std::uint32_t
ToWireMillis(Duration aTime);

cellwire::CallerRequestT
ToWire(std::uint64_t aId, const CallerRequest& aRequest, Epoch aEpoch);

// False for a request that was sent to the receiver as the owner of another
// term. Its sender sends it again to the present owner, which may refuse it, so
// a copy that was delayed must not be served.
bool
IsMeantFor(Epoch aEpoch, const cellwire::CallerRequestT& aCall);
// Returns InvalidArgument when a value is out of range, like the conversion of
// an answer.
absl::StatusOr<CallerRequest>
FromWire(const cellwire::CallerRequestT& aCall);

cellwire::CallerAnswerT
ToWire(std::uint64_t aId, const CallerAnswer& aAnswer);
absl::StatusOr<CallerAnswer>
FromWire(const cellwire::CallerAnswerT& aAnswer);
// Replaces an answer to a node that does not forward keys by one of a kind that
// such a node knows.
CallerAnswer
ForNodeWithoutKeys(CallerAnswer aAnswer);

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
