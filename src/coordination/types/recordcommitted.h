// Event: the journal made records durable.
#pragma once

#include <cstdint>

namespace oriolevane::coordination {

// The record with this sequence and all earlier ones are durable.
struct RecordCommitted
{
  std::uint64_t mSequence = 0;
};

} // namespace oriolevane::coordination
