// The JSON merge patch (RFC 7396) that turns one value into another.
#pragma once

#include <nlohmann/json.hpp>

namespace oriolevane::cli {

// An empty object when both are equal. Members that hold null cannot be made by
// a merge patch.
nlohmann::json
MergeDiff(const nlohmann::json& aOld, const nlohmann::json& aNew);

} // namespace oriolevane::cli
