// Frames on a connection between nodes: a length of four bytes, most
// significant first, then a byte for the kind and the body. The length counts
// kind and body.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace oriolevane::peers {

enum class FrameKind : std::uint8_t
{
  Hello = 1,
  Ping = 2,
  Message = 3
};

// Bytes that a frame takes besides its body.
constexpr std::size_t kFrameOverhead = 5;

void
AppendFrame(std::string& aOut, FrameKind aKind, std::string_view aBody);

struct FrameView
{
  FrameKind mKind = FrameKind::Ping;
  // Valid until the next call of the reader.
  std::string_view mBody;
};

// Cuts a stream of bytes into frames. Holds no more than was received.
class FrameReader
{
public:
  explicit FrameReader(std::size_t aMaxBodyBytes);

  void SetMaxBody(std::size_t aMaxBodyBytes) { mMaxBodyBytes = aMaxBodyBytes; }
  void Append(std::string_view aBytes);
  // Empty when more bytes are needed; InvalidArgument when the stream can't be
  // followed any more.
  absl::StatusOr<std::optional<FrameView>> Next();
  std::size_t BufferedBytes() const { return mBuffer.size() - mAt; }

private:
  void Compact();

  std::size_t mMaxBodyBytes;
  std::string mBuffer;
  std::size_t mAt = 0;
};

} // namespace oriolevane::peers
