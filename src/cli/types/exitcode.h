// What the program tells the shell. The numbers are part of the interface.
#pragma once

#include <cstdint>

namespace oriolevane::cli {

// 1 is left to a flag that is not known or has a value of the wrong type.
enum class ExitCode : std::uint8_t
{
  // Done; for a request: ran, or accepted where no outcome was waited for.
  Ok = 0,
  // The command line is wrong or a named file cannot be read; nothing was sent.
  Usage = 2,
  // Refused: surely not run, not applied or not ready.
  Refused = 3,
  // No final outcome yet, or the answer was lost; ask again.
  NotKnownYet = 4,
  NotFound = 5,
  // Another patch came first, or the key was used with another request.
  Conflict = 6,
  // No address answered and nothing was sent that could have an effect.
  Unreachable = 7,
  // What was sent or checked is not valid and never will be.
  Invalid = 8
};

} // namespace oriolevane::cli
