// The journal wrote a record.
#pragma once

#include <cstdint>

namespace oriolevane::coordination {

// The record of this sequence, and with it every earlier one, is durable.
struct RecordCommitted
{
  std::uint64_t mSequence = 0;
};

} // namespace oriolevane::coordination
