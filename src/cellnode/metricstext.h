// Formats a node's status and metrics in the Prometheus text format.
#pragma once

#include <string>

#include "cellnode/cellnode.h"

namespace oriolevane::cellnode {

std::string
MetricsText(const NodeStatus& aStatus, const NodeMetrics& aMetrics);

} // namespace oriolevane::cellnode
