#include "settings/boundedjson.h"

#include <fmt/format.h>

namespace oriolevane::settings {

using nlohmann::json;

absl::StatusOr<json>
ParseBoundedJson(std::string_view aText)
{
  bool tooDeep = false;
  const json::parser_callback_t checkDepth =
    [&tooDeep](int aDepth, json::parse_event_t, json&) {
      tooDeep = tooDeep || aDepth > kMaxJsonDepth;
      return !tooDeep;
    };
  try {
    json parsed = json::parse(aText, checkDepth, true, true);
    if (tooDeep) {
      return absl::InvalidArgumentError(
        fmt::format("nested more than {} levels deep", kMaxJsonDepth));
    }
    return parsed;
  } catch (const json::exception& error) {
    // Also a number that no type holds, which is not a parse_error.
    return absl::InvalidArgumentError(error.what());
  }
}

} // namespace oriolevane::settings
