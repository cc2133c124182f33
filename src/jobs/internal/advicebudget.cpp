#include "jobs/internal/advicebudget.h"

#include <algorithm>

#include "jobs/types/orders.h"

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
// While the service is overloaded, the renewals of all queues occupy at most
// this share of the hosts for steps with a bounded wait, as much for others,
// and as much for those with room that these shares leave out, so that their
// number does not grow with that of the waiting steps.
constexpr double kMaxRenewalShareInOverload = 0.25;
// A renewal names about this many workers.
constexpr int kWorkersPerRenewal = 10;

} // namespace

void
AdviceBudget::BeginPass(std::size_t aHosts, const PendingAdvice& aPending)
{
  mHosts = std::max<std::size_t>(aHosts, 1);
  mPending = aPending;
  mStepsRenewed.clear();
  mStepsRenewedWithRoom.clear();
  mHostsRenewingBounded = 0;
  mHostsRenewingOthers = 0;
  mHostsRenewingWithRoom = 0;
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
    static_cast<double>(mPending.mQueries) / static_cast<double>(mHosts);
  const double excess =
    std::clamp((load - kLowLoad) / (kHighLoad - kLowLoad), 0.0, 1.0);
  return kMaxTargetRoomFactor +
         excess * (kMinTargetRoomFactor - kMaxTargetRoomFactor);
}

bool
AdviceBudget::IsOverloaded(const AdvicePolicy& aPolicy) const
{
  // Short queries do not wait behind the long ones that overload the service.
  return aPolicy.mDecisionTime >= kLongQueryServiceTime &&
         mPending.mServiceTime > aPolicy.mValidity * mHosts;
}

bool
AdviceBudget::Take(const QueuePolicy& aQueue,
                   StepCounts& aRenewed,
                   double& aHostsRenewing) const
{
  const AdvicePolicy& policy = *aQueue.mAdvice;
  if (IsOverloaded(policy)) {
    const auto allowed =
      kMaxRenewalShareInOverload * static_cast<double>(mHosts);
    if (aHostsRenewing >= allowed) {
      return false;
    }
    const std::chrono::duration<double> service =
      policy.mDecisionTime + policy.mTimePerWorker * kWorkersPerRenewal;
    const std::chrono::duration<double> validity = policy.mValidity;
    aHostsRenewing += service / validity;
  }
  const std::size_t limit = std::clamp(mHosts / kHostsPerRenewedStep,
                                       kMinStepsRenewedPerQueue,
                                       kMaxStepsRenewedPerQueue);
  return aRenewed[aQueue.mName]++ < limit;
}

bool
AdviceBudget::TakeRenewal(const QueuePolicy& aQueue, bool aBoundedWait)
{
  return Take(aQueue,
              mStepsRenewed,
              aBoundedWait ? mHostsRenewingBounded : mHostsRenewingOthers);
}

bool
AdviceBudget::TakeRenewalWithRoom(const QueuePolicy& aQueue)
{
  return Take(aQueue, mStepsRenewedWithRoom, mHostsRenewingWithRoom);
}

} // namespace oriolevane::jobs
