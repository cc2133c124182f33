#include "peers/internal/connectionhealth.h"

namespace oriolevane::peers {

ConnectionHealth::ConnectionHealth(TimePoint aNow)
  : mReceived(aNow)
  , mQueued(aNow)
  , mProgressed(aNow)
{
}

Health
ConnectionHealth::Judge(TimePoint aNow, const HealthLimits& aLimits) const
{
  if (aNow - mReceived >= aLimits.mSilenceLimit) {
    return Health::Silent;
  }
  if (aNow - mProgressed >= aLimits.mStallLimit) {
    return Health::Stalled;
  }
  return aNow - mQueued >= aLimits.mPingInterval ? Health::PingDue
                                                 : Health::Fine;
}

bool
ConnectionHealth::IsDoubtful(TimePoint aNow, const HealthLimits& aLimits) const
{
  return aNow - mReceived >= 2 * aLimits.mPingInterval;
}

} // namespace oriolevane::peers
