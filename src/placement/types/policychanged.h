// Event: a configuration version came into force.
#pragma once

#include <memory>

#include "policy/types/cellpolicy.h"

namespace oriolevane::placement {

// Never null. Older versions than the one in force are ignored.
struct PolicyChanged
{
  std::shared_ptr<const policy::CellPolicy> mPolicy;
};

} // namespace oriolevane::placement
