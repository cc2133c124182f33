// Bounds the volume of logs: how many lines of each kind may be written.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "framework/types/timepoint.h"

namespace oriolevane {

struct LogBudgetOptions
{
  double mLinesPerSecond = 200;
  // Lines of a kind that may come at once.
  double mBurst = 1000;
};

// A token bucket for each kind of event. May be used by several threads.
class LogBudget
{
public:
  explicit LogBudget(LogBudgetOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  // Nothing when the line is to be dropped, else how many of its kind were
  // dropped since the last that was written.
  std::optional<std::uint64_t> Admit(std::string_view aKind, TimePoint aNow);
  // Counts a line that could not be written.
  void NoteDropped();
  // Lines dropped since the start.
  std::uint64_t Dropped() const;

private:
  struct Bucket
  {
    double mTokens = 0;
    TimePoint mFilledAt;
    std::uint64_t mDropped = 0;
  };

  LogBudgetOptions mOptions;
  mutable std::mutex mMutex;
  std::map<std::string, Bucket, std::less<>> mBuckets;
  std::uint64_t mDropped = 0;
};

} // namespace oriolevane
