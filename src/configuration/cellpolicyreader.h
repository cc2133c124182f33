// Turns the JSON body of a configuration version into the policy that the
// deciding modules read.
#pragma once

#include <string_view>

#include "absl/status/statusor.h"
#include "policy/types/cellpolicy.h"

namespace oriolevane::configuration {

// InvalidArgument lists every problem with its line and path. Comments are
// allowed.
absl::StatusOr<policy::CellPolicy>
ParseCellPolicy(std::string_view aBody, ConfigurationVersion aVersion);

} // namespace oriolevane::configuration
