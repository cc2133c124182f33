// A record that waits for its commit.
#pragma once

#include "framework/types/timepoint.h"
#include "journal/types/logrecord.h"

namespace oriolevane::journal {

struct QueuedRecord
{
  LogRecord mRecord;
  TimePoint mSince;
};

} // namespace oriolevane::journal
