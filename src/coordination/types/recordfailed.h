// The journal could not say that a record is written.
#pragma once

#include <cstdint>

namespace oriolevane::coordination {

// Without mSurelyNotWritten the write may have taken effect and the record is
// appended again, unchanged, under its sequence.
struct RecordFailed
{
  std::uint64_t mSequence = 0;
  bool mSurelyNotWritten = false;
};

} // namespace oriolevane::coordination
