// Reads and checks the settings file of a node.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "settings/types/nodesettings.h"

namespace oriolevane::settings {

// InvalidArgument lists every problem with its line and path.
absl::StatusOr<NodeSettings>
ParseNodeSettings(std::string_view aText);

// NotFound when the file cannot be read; otherwise as ParseNodeSettings.
absl::StatusOr<NodeSettings>
LoadNodeSettings(const std::string& aPath);

// The whole text of a file. NotFound when it cannot be read.
absl::StatusOr<std::string>
ReadTextFile(const std::string& aPath);

} // namespace oriolevane::settings
