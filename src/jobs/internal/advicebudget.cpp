#include "jobs/internal/advicebudget.h"

#include <algorithm>

namespace oriolevane::jobs {

namespace {

// A step has one more query at the same time for each this many hosts, up to a
// maximum.
constexpr std::size_t kHostsPerParallelQuery = 30;
constexpr std::size_t kMaxParallelQueries = 4;
// Most workers are busy, so several times as many as a step needs must be
// approved. The multiple is the largest while at most kLowLoad queries are
// pending for each host, and falls to the smallest at kHighLoad.
constexpr double kMaxTargetRoomFactor = 16.0;
constexpr double kMinTargetRoomFactor = 5.0;
constexpr double kLowLoad = 0.5;
constexpr double kHighLoad = 0.9;
// The tickets of one waiting step of each queue are renewed for each this many
// hosts, within limits.
constexpr std::size_t kHostsPerRenewedStep = 4;
constexpr std::size_t kMinStepsRenewedPerQueue = 24;
constexpr std::size_t kMaxStepsRenewedPerQueue = 36;

} // namespace

void
AdviceBudget::SetLoad(std::size_t aHosts, std::size_t aPendingQueries)
{
  mHosts = std::max<std::size_t>(aHosts, 1);
  mPendingQueries = aPendingQueries;
}

std::size_t
AdviceBudget::MaxParallelQueries() const
{
  return std::clamp<std::size_t>(
    mHosts / kHostsPerParallelQuery, 1, kMaxParallelQueries);
}

double
AdviceBudget::TargetRoomFactor() const
{
  const double load =
    static_cast<double>(mPendingQueries) / static_cast<double>(mHosts);
  const double excess =
    std::clamp((load - kLowLoad) / (kHighLoad - kLowLoad), 0.0, 1.0);
  return kMaxTargetRoomFactor +
         excess * (kMinTargetRoomFactor - kMaxTargetRoomFactor);
}

std::size_t
AdviceBudget::MaxStepsRenewedPerQueue() const
{
  return std::clamp(mHosts / kHostsPerRenewedStep,
                    kMinStepsRenewedPerQueue,
                    kMaxStepsRenewedPerQueue);
}

} // namespace oriolevane::jobs
