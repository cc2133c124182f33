// Event: a configuration version came into force on this node.
#pragma once

#include <memory>

#include "policy/types/cellpolicy.h"

namespace oriolevane::coordination {

// The coordinator ignores a version that is lower than the one in force.
struct PolicyChanged
{
  std::shared_ptr<const policy::CellPolicy> mPolicy;
};

} // namespace oriolevane::coordination
