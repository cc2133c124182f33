// A record for the journal.
#pragma once

#include <cstdint>
#include <string>

namespace oriolevane::coordination {

// Sequences rise by one. A sequence is appended again when its write failed:
// with the same bytes when it may have been written.
struct AppendRecord
{
  std::uint64_t mSequence = 0;
  std::string mBytes;
};

} // namespace oriolevane::coordination
