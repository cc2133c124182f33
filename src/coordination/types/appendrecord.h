// Action: append a record to the partition's journal.
#pragma once

#include <cstdint>
#include <string>

namespace oriolevane::coordination {

// The sequence of each new record is one higher than that of the last. A record
// whose write failed is appended again under its sequence, and with the same
// bytes when the failed write may have taken effect.
struct AppendRecord
{
  std::uint64_t mSequence = 0;
  std::string mBytes;
};

} // namespace oriolevane::coordination
