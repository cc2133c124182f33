// Messages between nodes as FlatBuffers. Decoding verifies the buffer before it
// reads any of it, then checks ranges and lengths, so that a hostile frame
// costs no more memory than its own size and gives an error.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "codec/types/hello.h"
#include "codec/types/peermessage.h"

namespace oriolevane::codec {

// Longest frame, in bytes: a few answers of the most that a worker may give.
constexpr std::size_t kMaxFrameBytes = 4UL * 1024 * 1024;

// ResourceExhausted when the frame would be longer than kMaxFrameBytes.
absl::StatusOr<std::string>
Encode(const Envelope& aEnvelope, const PeerMessage& aMessage);

// InvalidArgument with the field at fault.
absl::StatusOr<PeerFrame>
Decode(std::string_view aFrame);

std::string
EncodeHello(const Hello& aHello);

// InvalidArgument when it can't be read. The version is for the caller to
// judge.
absl::StatusOr<Hello>
DecodeHello(std::string_view aFrame);

} // namespace oriolevane::codec
