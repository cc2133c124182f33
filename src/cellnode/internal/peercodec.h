// Encodes and decodes the frames that nodes exchange.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "cellpeer_generated.h"

namespace oriolevane::cellnode {

// Encodes a message of any type of the schema's Body union.
template<typename Body>
std::string
EncodeFrame(Body aBody)
{
  cellwire::MessageT message;
  message.body.Set(std::move(aBody));
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(cellwire::Message::Pack(builder, &message));
  return { reinterpret_cast<const char*>(builder.GetBufferPointer()),
           builder.GetSize() };
}

// Returns InvalidArgument when the frame is not a valid message.
absl::StatusOr<cellwire::MessageT>
DecodeFrame(std::string_view aFrame);

} // namespace oriolevane::cellnode
