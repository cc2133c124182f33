// Action: record a decision in the trail of a request.
#pragma once

#include <string>

#include "framework/types/ids.h"

namespace oriolevane::placement {

// One trail entry; callers read the trail with the verb "explain".
struct TrailNote
{
  RequestId mRequest;
  std::string mEvent;
  // Human-readable; may be empty.
  std::string mDetail;
};

} // namespace oriolevane::placement
