// The JSON shapes that commands and reports share.
#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include "framework/types/resources.h"
#include "protocol/types/taskkey.h"

namespace oriolevane::workers {

nlohmann::json
TaskToJson(const protocol::TaskKey& aTask);

nlohmann::json
AmountsToJson(const Resources& aAmounts);

// Any bytes, in base64.
std::string
BytesToJson(std::string_view aBytes);

// The text of aObject; an error when an identifier in it is not UTF-8.
absl::StatusOr<std::string>
WriteJson(const nlohmann::json& aObject);

} // namespace oriolevane::workers
