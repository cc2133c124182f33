// Whether an event of a level is written, for events that would cost much to
// put together.
#pragma once

#include "framework/log.h"

namespace oriolevane {

bool
IsLogged(LogLevel aLevel);

} // namespace oriolevane
