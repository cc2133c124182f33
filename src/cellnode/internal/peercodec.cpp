#include "cellnode/internal/peercodec.h"

#include <cstring>
#include <vector>

#include "cellnode/internal/frametexts.h"

namespace oriolevane::cellnode {

namespace {

// A table of a list takes an offset of four bytes in the list, another one at
// its start, and a field of eight bytes at least. Several entries of a list
// that refer to one table would need fewer bytes.
constexpr std::size_t kMinTableBytes = 16;
// The message itself and its body may be smaller than that.
constexpr std::size_t kMessageTables = 2;
constexpr int kMaxDepth = 64;

} // namespace

absl::StatusOr<cellwire::MessageT>
DecodeFrame(std::string_view aFrame)
{
  // The verifier needs aligned data, which a view does not guarantee.
  std::vector<std::uint64_t> aligned(aFrame.size() / sizeof(std::uint64_t) + 1);
  std::memcpy(aligned.data(), aFrame.data(), aFrame.size());
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(aligned.data());
  flatbuffers::Verifier verifier(
    bytes,
    aFrame.size(),
    kMaxDepth,
    static_cast<flatbuffers::uoffset_t>(kMessageTables +
                                        aFrame.size() / kMinTableBytes));
  if (!cellwire::VerifyMessageBuffer(verifier)) {
    return absl::InvalidArgumentError("not a valid peer message");
  }
  // Each entry of a list is unpacked on its own, also when several refer to the
  // same text.
  const cellwire::Message& frame = *cellwire::GetMessage(bytes);
  if (UnpackedTextBytes(frame) > aFrame.size()) {
    return absl::InvalidArgumentError("peer message grows when it is unpacked");
  }
  cellwire::MessageT message;
  frame.UnPackTo(&message);
  // The verifier accepts a body of a known type that is absent. A body of an
  // unknown type comes from a later build, and is ignored.
  const bool knownType = message.body.type <= cellwire::Body::MAX;
  if (message.body.type == cellwire::Body::NONE ||
      (knownType && message.body.value == nullptr)) {
    return absl::InvalidArgumentError("peer message has no body");
  }
  return message;
}

} // namespace oriolevane::cellnode
