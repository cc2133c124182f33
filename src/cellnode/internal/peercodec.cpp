#include "cellnode/internal/peercodec.h"

#include <cstring>
#include <vector>

namespace oriolevane::cellnode {

absl::StatusOr<cellwire::MessageT>
DecodeFrame(std::string_view aFrame)
{
  // The verifier needs aligned data, which a view does not guarantee.
  std::vector<std::uint64_t> aligned(aFrame.size() / sizeof(std::uint64_t) + 1);
  std::memcpy(aligned.data(), aFrame.data(), aFrame.size());
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(aligned.data());
  flatbuffers::Verifier verifier(bytes, aFrame.size());
  if (!cellwire::VerifyMessageBuffer(verifier)) {
    return absl::InvalidArgumentError("not a valid peer message");
  }
  cellwire::MessageT message;
  cellwire::GetMessage(bytes)->UnPackTo(&message);
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
