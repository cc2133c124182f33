#include "gateway/internal/callchecks.h"

#include <charconv>

namespace oriolevane::gateway {

std::optional<std::uint64_t>
ParseNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  const auto result =
    std::from_chars(aText.data(), aText.data() + aText.size(), number);
  if (result.ec != std::errc() || result.ptr != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return number;
}

bool
IsPatchId(const std::string& aText)
{
  constexpr std::string_view kAllowed =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~:";
  return !aText.empty() && aText.size() <= kMaxPatchIdBytes &&
         aText.find_first_not_of(kAllowed) == std::string::npos;
}

} // namespace oriolevane::gateway
