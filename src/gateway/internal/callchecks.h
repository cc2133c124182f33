// Small checks of what a call brings.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oriolevane::gateway {

constexpr std::size_t kMaxPatchIdBytes = 128;

// None when the text is anything but a whole number.
std::optional<std::uint64_t>
ParseNumber(std::string_view aText);

// Letters, digits and marks that stand for themselves in a path.
bool
IsPatchId(const std::string& aText);

} // namespace oriolevane::gateway
