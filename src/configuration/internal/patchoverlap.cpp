#include "configuration/patchoverlap.h"

#include "settings/lineindex.h"

namespace oriolevane::configuration {

using nlohmann::json;

namespace {

std::optional<std::string>
OverlapBelow(const json& aLeft, const json& aRight, const std::string& aPath)
{
  if (!aLeft.is_object() || !aRight.is_object()) {
    return aPath;
  }
  for (const auto& [name, left] : aLeft.items()) {
    const auto right = aRight.find(name);
    if (right == aRight.end()) {
      continue;
    }
    std::optional<std::string> below =
      OverlapBelow(left, *right, settings::JoinPath(aPath, name));
    if (below.has_value()) {
      return below;
    }
  }
  return std::nullopt;
}

} // namespace

std::optional<std::string>
FindOverlap(const json& aLeft, const json& aRight)
{
  return OverlapBelow(aLeft, aRight, "");
}

} // namespace oriolevane::configuration
