// One record of a partition's log.
#pragma once

#include <cstdint>
#include <string>

namespace oriolevane::journal {

// Sequences rise within a partition over all epochs; some may be left out.
struct LogRecord
{
  std::uint64_t mSequence = 0;
  std::string mBytes;

  bool operator==(const LogRecord&) const = default;
};

} // namespace oriolevane::journal
