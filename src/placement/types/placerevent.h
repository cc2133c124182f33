// The events that a placer handles.
#pragma once

#include <variant>

#include "placement/types/handoverbegan.h"
#include "placement/types/ownershipconfirmation.h"
#include "placement/types/policychanged.h"
#include "placement/types/tick.h"
#include "placement/types/workerslisted.h"
#include "placement/types/workerunreachable.h"
#include "protocol/types/placermessages.h"
#include "protocol/types/workermessages.h"

namespace oriolevane::placement {

// One event: a message from a worker or coordinator, a change of configuration
// or ownership, or the passing of time.
using PlacerEvent = std::variant<WorkersListed,
                                 protocol::WorkerReport,
                                 WorkerUnreachable,
                                 protocol::PlaceTasks,
                                 protocol::CommitHold,
                                 protocol::CancelTasks,
                                 protocol::UpdateAck,
                                 protocol::ReconcileQuery,
                                 PolicyChanged,
                                 HandOverBegan,
                                 OwnershipConfirmation,
                                 Tick>;

} // namespace oriolevane::placement
