// Looks up the value to write for a changed record.
#pragma once

#include "jobs/cellscheduler.h"
#include "jobs/internal/cellstate.h"

namespace oriolevane::jobs {

RecordValue
CurrentValue(const CellState& aCell, const RecordKey& aKey);

} // namespace oriolevane::jobs
