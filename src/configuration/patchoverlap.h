// Whether two JSON merge patches touch the same member, so that their order
// matters.
#pragma once

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

namespace oriolevane::configuration {

// The path of the first member that both patches set or remove; none when they
// commute.
std::optional<std::string>
FindOverlap(const nlohmann::json& aLeft, const nlohmann::json& aRight);

} // namespace oriolevane::configuration
