// The actions that a placer asks its caller to carry out.
#pragma once

#include <variant>

#include "placement/types/sendtocoordinator.h"
#include "placement/types/sendtoworker.h"
#include "placement/types/trailnote.h"

namespace oriolevane::placement {

// One action; actions are carried out in the order in which they are returned.
using PlacerAction = std::variant<SendToWorker, SendToCoordinator, TrailNote>;

} // namespace oriolevane::placement
