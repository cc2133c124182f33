// Judges whether a node's configuration can still be the newest one.
#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

#include "framework/types/boottime.h"

namespace oriolevane::cellnode {

// Without a clock of its own: callers pass the time.
class ConfigurationFreshness
{
public:
  // The time by which a caller's message may seem older than it is. It covers
  // the drift between the clocks of two machines.
  static constexpr std::chrono::milliseconds kMargin{ 250 };

  // aKeyWithdrawal is the time after which a withdrawn key must have no effect;
  // nothing when the age of the configuration does not matter.
  explicit ConfigurationFreshness(
    std::optional<std::chrono::milliseconds> aKeyWithdrawal)
    : mKeyWithdrawal(aKeyWithdrawal)
  {
  }

  // Notes that the configuration was the newest one at aTime: the time at which
  // the call was sent whose response delivered or confirmed it.
  void OnProven(BootTimePoint aTime)
  {
    mProvenAt = std::max(mProvenAt.value_or(aTime), aTime);
  }
  // aNow must be read after the request has arrived that the result is for.
  // True without a bound.
  bool IsFresh(BootTimePoint aNow) const
  {
    if (!mKeyWithdrawal.has_value()) {
      return true;
    }
    return mProvenAt.has_value() &&
           aNow - *mProvenAt < *mKeyWithdrawal - kMargin;
  }
  // Returns nothing until the configuration was proven for the first time.
  std::optional<BootDuration> Age(BootTimePoint aNow) const
  {
    return mProvenAt.has_value() ? std::optional(aNow - *mProvenAt)
                                 : std::nullopt;
  }

private:
  std::optional<std::chrono::milliseconds> mKeyWithdrawal;
  std::optional<BootTimePoint> mProvenAt;
};

} // namespace oriolevane::cellnode
