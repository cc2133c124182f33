// Reads row values of the store.
#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "absl/status/statusor.h"
#include "cellnode/compression.h"

namespace oriolevane::cellnode {

// Decompresses and parses the text, and calls a reader on it; a JSON exception
// becomes DataLoss.
template<typename Value, typename Reader>
absl::StatusOr<Value>
ReadRow(std::string_view aText, const Reader& aReader)
{
  const absl::StatusOr<std::string> text = DecompressRow(aText);
  if (!text.ok()) {
    return text.status();
  }
  try {
    return aReader(nlohmann::json::parse(*text));
  } catch (const nlohmann::json::exception& error) {
    return absl::DataLossError(error.what());
  }
}

} // namespace oriolevane::cellnode
