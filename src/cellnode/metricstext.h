// The figures of a node as text for Prometheus.
#pragma once

#include <string>

#include "cellnode/cellnode.h"

namespace oriolevane::cellnode {

std::string
MetricsText(const NodeStatus& aStatus, const NodeMetrics& aMetrics);

} // namespace oriolevane::cellnode
