// Event: the journal could not confirm that a record was written.
#pragma once

#include <cstdint>

namespace oriolevane::coordination {

// Unless mSurelyNotWritten is set, the write may have taken effect, and the
// record is appended again under its sequence with the same bytes.
struct RecordFailed
{
  std::uint64_t mSequence = 0;
  bool mSurelyNotWritten = false;
};

} // namespace oriolevane::coordination
