#include "peers/internal/framing.h"

#include <fmt/format.h>

namespace oriolevane::peers {

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr unsigned kBitsPerByte = 8;
// A buffer that grew for one long frame is given back above this.
constexpr std::size_t kKeptBytes = 64UL * 1024;

std::size_t
ReadLength(std::string_view aBytes)
{
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length = (length << kBitsPerByte) | static_cast<std::uint8_t>(aBytes[i]);
  }
  return length;
}

bool
IsKind(std::uint8_t aByte)
{
  return aByte >= static_cast<std::uint8_t>(FrameKind::Hello) &&
         aByte <= static_cast<std::uint8_t>(FrameKind::Message);
}

} // namespace

void
AppendFrame(std::string& aOut, FrameKind aKind, std::string_view aBody)
{
  const std::size_t length = aBody.size() + 1;
  for (std::size_t i = kLengthBytes; i > 0; --i) {
    aOut += static_cast<char>(length >> ((i - 1) * kBitsPerByte));
  }
  aOut += static_cast<char>(aKind);
  aOut += aBody;
}

FrameReader::FrameReader(std::size_t aMaxBodyBytes)
  : mMaxBodyBytes(aMaxBodyBytes)
{
}

void
FrameReader::Append(std::string_view aBytes)
{
  Compact();
  mBuffer.append(aBytes);
}

void
FrameReader::Compact()
{
  if (mAt == mBuffer.size()) {
    mBuffer.clear();
    if (mBuffer.capacity() > kKeptBytes) {
      mBuffer.shrink_to_fit();
    }
  } else {
    mBuffer.erase(0, mAt);
  }
  mAt = 0;
}

absl::StatusOr<std::optional<FrameView>>
FrameReader::Next()
{
  const std::string_view rest = std::string_view(mBuffer).substr(mAt);
  if (rest.size() < kLengthBytes) {
    return std::nullopt;
  }
  const std::size_t length = ReadLength(rest);
  if (length == 0 || length - 1 > mMaxBodyBytes) {
    return absl::InvalidArgumentError(fmt::format("frame of {} bytes", length));
  }
  if (rest.size() < kLengthBytes + length) {
    return std::nullopt;
  }
  const auto kind = static_cast<std::uint8_t>(rest[kLengthBytes]);
  if (!IsKind(kind)) {
    return absl::InvalidArgumentError(
      fmt::format("frame of unknown kind {}", kind));
  }
  mAt += kLengthBytes + length;
  return FrameView{ .mKind = static_cast<FrameKind>(kind),
                    .mBody = rest.substr(kFrameOverhead, length - 1) };
}

} // namespace oriolevane::peers
