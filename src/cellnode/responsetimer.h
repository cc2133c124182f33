// How long to wait for an answer of the store before the call is made again,
// from the answers before.
#pragma once

#include <optional>

#include "framework/types/timepoint.h"

namespace oriolevane::cellnode {

struct ResponseTimerOptions
{
  // Until there is an answer.
  Duration mFirst = std::chrono::milliseconds(350);
  Duration mShortest = std::chrono::milliseconds(100);
  // Of repeated calls, unless the first one takes longer.
  Duration mLongest = std::chrono::milliseconds(2000);
};

// Deterministic. Smooths round trips and their deviation as TCP does (RFC
// 6298).
class ResponseTimer
{
public:
  explicit ResponseTimer(ResponseTimerOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  void OnAnswer(Duration aRoundTrip);
  // When a call that was made for the aAttempt-th time, from 1, is late.
  Duration Timeout(int aAttempt) const;
  // The next round trip, as the smoothed and the newest ones make it likely;
  // zero until there is an answer.
  Duration Expected() const;

private:
  ResponseTimerOptions mOptions;
  std::optional<Duration> mSmoothed;
  Duration mNewest{};
  Duration mDeviation{};
};

} // namespace oriolevane::cellnode
