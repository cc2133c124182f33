// Bodies of HTTP messages, whole or not at all.
#pragma once

#include <cstddef>
#include <cstdint>
#include <istream>
#include <string>

#include <absl/status/statusor.h>

namespace oriolevane::workers {

// Reads to the end of aStream. aDeclared is the Content-Length, negative when
// there is none. ResourceExhausted when the body is longer than aMost bytes,
// Unavailable when it ends before its declared length.
absl::StatusOr<std::string>
ReadHttpBody(std::istream& aStream, std::int64_t aDeclared, std::size_t aMost);

} // namespace oriolevane::workers
