// The texts of a peer message, before they are unpacked.
#pragma once

#include <cstddef>

#include "cellpeer_generated.h"

namespace oriolevane::cellnode {

// Returns the bytes that the texts of the message's lists take when each is
// unpacked on its own. In a frame, several entries can refer to the same text.
// The message must have passed the verifier.
std::size_t
UnpackedTextBytes(const cellwire::Message& aMessage);

} // namespace oriolevane::cellnode
