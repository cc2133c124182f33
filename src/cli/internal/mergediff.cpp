#include "cli/internal/mergediff.h"

namespace oriolevane::cli {

using nlohmann::json;

// Depth is bounded by the reader that made the values.
json
MergeDiff(const json& aOld, const json& aNew) // NOLINT(misc-no-recursion)
{
  if (!aOld.is_object() || !aNew.is_object()) {
    return aNew;
  }
  json patch = json::object();
  for (const auto& [name, value] : aOld.items()) {
    if (!aNew.contains(name)) {
      patch[name] = nullptr;
    }
  }
  for (const auto& [name, value] : aNew.items()) {
    if (!aOld.contains(name)) {
      patch[name] = value;
    } else if (aOld[name] != value) {
      patch[name] = MergeDiff(aOld[name], value);
    }
  }
  return patch;
}

} // namespace oriolevane::cli
