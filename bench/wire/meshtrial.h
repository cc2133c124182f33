// What a full mesh of idle nodes costs each of them.
#pragma once

#include <cstddef>

namespace oriolevane::wirebench {

// Starts aNodes meshes in this process, waits until all are connected, and
// prints the resident memory that each took, and the processor time and the
// bytes that each spends while nothing is sent but heartbeats once a second.
void
MeasureMesh(std::size_t aNodes);

} // namespace oriolevane::wirebench
