// Frames of messages between nodes.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "cellpeer_generated.h"

namespace oriolevane::cellnode {

// Takes any of the message types of the schema.
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

// InvalidArgument when the frame is not a message.
absl::StatusOr<cellwire::MessageT>
DecodeFrame(std::string_view aFrame);

} // namespace oriolevane::cellnode
