// The events that a coordinator handles.
#pragma once

#include <variant>

#include "coordination/types/callabandoned.h"
#include "coordination/types/callarrived.h"
#include "coordination/types/digestreceived.h"
#include "coordination/types/drainbegan.h"
#include "coordination/types/policychanged.h"
#include "coordination/types/recordcommitted.h"
#include "coordination/types/recordfailed.h"
#include "coordination/types/storehealth.h"
#include "coordination/types/tick.h"
#include "protocol/types/placermessages.h"

namespace oriolevane::coordination {

using CoordinatorEvent = std::variant<CallArrived,
                                      CallAbandoned,
                                      protocol::TaskUpdate,
                                      protocol::TasksHeld,
                                      protocol::ReconcileAnswer,
                                      DigestReceived,
                                      RecordCommitted,
                                      RecordFailed,
                                      StoreHealth,
                                      PolicyChanged,
                                      DrainBegan,
                                      Tick>;

} // namespace oriolevane::coordination
