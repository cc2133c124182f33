// When a connection is due for a ping or given up.
#pragma once

#include <chrono>

#include "framework/types/timepoint.h"

namespace oriolevane::peers {

struct HealthLimits
{
  std::chrono::milliseconds mPingInterval{ 500 };
  std::chrono::milliseconds mSilenceLimit{ 2000 };
  std::chrono::milliseconds mStallLimit{ 5000 };
};

enum class Health
{
  Fine,
  PingDue,
  // Nothing came in for too long, or no connection came about.
  Silent,
  // The other end takes nothing of what waits to be sent.
  Stalled
};

// Told of what happens on one connection.
class ConnectionHealth
{
public:
  explicit ConnectionHealth(TimePoint aNow);

  void Received(TimePoint aNow) { mReceived = aNow; }
  // A frame was put up for sending.
  void Queued(TimePoint aNow) { mQueued = aNow; }
  // The other end took bytes, or none are waiting.
  void Progressed(TimePoint aNow) { mProgressed = aNow; }

  Health Judge(TimePoint aNow, const HealthLimits& aLimits) const;
  // True when nothing came in for two intervals of pings.
  bool IsDoubtful(TimePoint aNow, const HealthLimits& aLimits) const;

private:
  TimePoint mReceived;
  TimePoint mQueued;
  TimePoint mProgressed;
};

} // namespace oriolevane::peers
