// Limits the rate of log lines for each event name.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "framework/types/timepoint.h"

namespace oriolevane {

struct LogRateLimiterOptions
{
  double mLinesPerSecond = 200;
  // Number of lines of one event name that may be written at once.
  double mBurst = 1000;
};

// Keeps a token bucket for each event name. Thread-safe.
class LogRateLimiter
{
public:
  explicit LogRateLimiter(LogRateLimiterOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  // Returns nothing when the line must be dropped. Otherwise returns the number
  // of lines of this event that were dropped since the last admitted one.
  std::optional<std::uint64_t> Admit(std::string_view aEvent, TimePoint aNow);
  // Counts an admitted line that could not be written.
  void CountDropped();
  // Returns the number of lines dropped since the process started.
  std::uint64_t Dropped() const;

private:
  struct Bucket
  {
    double mTokens = 0;
    TimePoint mRefilledAt;
    std::uint64_t mDropped = 0;
  };

  LogRateLimiterOptions mOptions;
  mutable std::mutex mMutex;
  std::map<std::string, Bucket, std::less<>> mBuckets;
  std::uint64_t mDropped = 0;
};

} // namespace oriolevane
