// Event: a new configuration version came into force.
#pragma once

#include <memory>

#include "policy/types/cellpolicy.h"

namespace oriolevane::placement {

// Carries the policy to apply. The placer ignores a version older than the one
// in force.
struct PolicyChanged
{
  // Never null.
  std::shared_ptr<const policy::CellPolicy> mPolicy;
};

} // namespace oriolevane::placement
