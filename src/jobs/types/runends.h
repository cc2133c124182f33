// By when runs have ended that nobody can be asked about.
#pragma once

#include <map>

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"

namespace oriolevane::jobs {

// For some workers, the time by which all runs have ended that were started
// there so far.
using RunEnds = std::map<WorkerId, TimePoint>;

} // namespace oriolevane::jobs
