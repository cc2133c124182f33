// Parses JSON from outside: comments are allowed, depth is bounded.
#pragma once

#include <string_view>

#include <nlohmann/json.hpp>

#include "absl/status/statusor.h"

namespace oriolevane::settings {

// Deeper nesting is refused, so that no recursion over the value can exhaust
// the stack.
constexpr int kMaxJsonDepth = 64;

// InvalidArgument says what is wrong and where.
absl::StatusOr<nlohmann::json>
ParseBoundedJson(std::string_view aText);

} // namespace oriolevane::settings
