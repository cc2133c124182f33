// Estimates how long to wait for an answer before a call is repeated, from the
// round trips measured so far.
#pragma once

#include <optional>

#include "framework/types/timepoint.h"

namespace oriolevane::cellnode {

struct TimeoutEstimatorOptions
{
  // The timeout until the first round trip is measured.
  Duration mInitial = std::chrono::milliseconds(350);
  // The lower limit of all timeouts after the first measurement.
  Duration mMin = std::chrono::milliseconds(100);
  // The limit for the timeouts of repeated calls, unless the first timeout is
  // longer.
  Duration mMax = std::chrono::milliseconds(2000);
};

// Smooths round trips and their deviation as TCP does (RFC 6298).
// Deterministic.
class TimeoutEstimator
{
public:
  explicit TimeoutEstimator(TimeoutEstimatorOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  // Takes the duration of an answered call.
  void OnAnswer(Duration aRoundTrip);
  // The timeout of the call's attempt number aAttempt, counted from 1. It
  // doubles with each attempt, up to the maximum.
  Duration Timeout(int aAttempt) const;
  // The expected duration of the next round trip: the larger of the smoothed
  // and the newest one. Zero until one is measured.
  Duration ExpectedRoundTrip() const;

private:
  TimeoutEstimatorOptions mOptions;
  std::optional<Duration> mSmoothed;
  Duration mNewest{};
  Duration mDeviation{};
};

} // namespace oriolevane::cellnode
