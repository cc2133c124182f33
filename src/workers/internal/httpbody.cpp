#include "workers/internal/httpbody.h"

#include <array>

#include <fmt/format.h>

namespace oriolevane::workers {

namespace {

constexpr std::size_t kChunkBytes = 8192;

absl::Status
TooLong(std::size_t aMost)
{
  return absl::ResourceExhaustedError(
    fmt::format("body longer than {} bytes", aMost));
}

} // namespace

absl::StatusOr<std::string>
ReadHttpBody(std::istream& aStream, std::int64_t aDeclared, std::size_t aMost)
{
  if (aDeclared > 0 && static_cast<std::uint64_t>(aDeclared) > aMost) {
    return TooLong(aMost);
  }
  std::string body;
  std::array<char, kChunkBytes> chunk{};
  while (aStream.good()) {
    aStream.read(chunk.data(), chunk.size());
    body.append(chunk.data(), static_cast<std::size_t>(aStream.gcount()));
    if (body.size() > aMost) {
      return TooLong(aMost);
    }
  }
  if (aStream.bad()) {
    return absl::UnavailableError("body broke off");
  }
  if (aDeclared >= 0 && body.size() != static_cast<std::uint64_t>(aDeclared)) {
    return absl::UnavailableError("body ended before its declared length");
  }
  return body;
}

} // namespace oriolevane::workers
