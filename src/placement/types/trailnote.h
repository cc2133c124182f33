// Action: note a decision in the trail of a request, for "explain".
#pragma once

#include <string>

#include "framework/types/ids.h"

namespace oriolevane::placement {

struct TrailNote
{
  RequestId mRequest;
  std::string mEvent;
  std::string mDetail;
};

} // namespace oriolevane::placement
