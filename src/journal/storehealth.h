// Whether the platform's store is usable, with hysteresis, so that a single
// lost answer changes nothing and a recovering store is not trusted at once.
#pragma once

#include <cstdint>
#include <optional>

namespace oriolevane::journal {

enum class StoreHealth
{
  Up,
  Down
};

struct StoreHealthOptions
{
  // Failures in a row that take it down.
  std::uint32_t mDownAfter = 2;
  // Successes in a row that bring it back.
  std::uint32_t mUpAfter = 2;
};

// Deterministic. Starts as up.
class StoreHealthTracker
{
public:
  explicit StoreHealthTracker(StoreHealthOptions aOptions = {});

  // Takes the result of one call; returns the new state when it changed.
  std::optional<StoreHealth> OnResult(bool aSucceeded);
  StoreHealth State() const { return mState; }

private:
  StoreHealthOptions mOptions;
  StoreHealth mState = StoreHealth::Up;
  std::uint32_t mAgainst = 0;
};

} // namespace oriolevane::journal
