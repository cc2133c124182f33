// A configuration version came into force on this node.
#pragma once

#include <memory>

#include "policy/types/cellpolicy.h"

namespace oriolevane::coordination {

// A version below the one in force is ignored.
struct PolicyChanged
{
  std::shared_ptr<const policy::CellPolicy> mPolicy;
};

} // namespace oriolevane::coordination
