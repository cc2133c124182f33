// Tests whether a log level is enabled, so that callers can skip events that
// are expensive to build.
#pragma once

#include "framework/log.h"

namespace oriolevane {

// True when events of this level are logged.
bool
IsLogged(LogLevel aLevel);

} // namespace oriolevane
