// Text for the trail of a request.
#pragma once

#include <string>
#include <string_view>

#include "framework/types/ids.h"
#include "framework/types/resources.h"
#include "protocol/types/taskkey.h"
#include "protocol/types/taskstate.h"

namespace oriolevane::placement {

// Names of states and reasons as they appear in the trail.
std::string_view
NameOf(protocol::TaskState aState);
std::string_view
NameOf(protocol::TaskEndReason aReason);
// Describes where an attempt was placed, such as
// "task=3 attempt=1 worker=w-17".
std::string
DescribePlacement(const protocol::TaskKey& aKey, const WorkerId& aWorker);
// Describes how an attempt ended, such as
// "task=3 attempt=1 state=lost reason=worker_lost".
std::string
DescribeEnd(const protocol::TaskKey& aKey,
            protocol::TaskState aState,
            protocol::TaskEndReason aReason);

} // namespace oriolevane::placement
