// Measures what the order between teams costs in a placement pass.
#pragma once

namespace oriolevane::jobs {

// Prints the median times as name=value lines.
void
MeasureTeamOrder();

} // namespace oriolevane::jobs
