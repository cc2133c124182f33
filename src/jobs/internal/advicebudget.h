// Decides how much of the policy service's time a step may take, from how busy
// the hosts that query the service are. It answers loads of wide gangs: the
// more workers a gang may choose from, the sooner it starts, but queries and
// the renewal of tickets occupy the hosts.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>

#include "jobs/types/cellconfiguration.h"

namespace oriolevane::jobs {

// The queries that all steps have pending.
struct PendingAdvice
{
  std::size_t mQueries = 0;
  // The time that the service needs to handle them.
  std::chrono::microseconds mServiceTime{ 0 };
};

class AdviceBudget
{
public:
  // Begins a dispatch pass. aHosts is the number of hosts that can query the
  // service at the same time.
  void BeginPass(std::size_t aHosts, const PendingAdvice& aPending);
  // Counts the service time of queries that are sent in this pass.
  void NoteServiceTime(std::chrono::microseconds aServiceTime)
  {
    mPending.mServiceTime += aServiceTime;
  }
  // The number of queries that one step may have at the same time.
  std::size_t MaxParallelQueries() const;
  // The number of approved workers to aim for, relative to the workers that
  // would hold the step if they were empty.
  double TargetRoomFactor() const;
  // Returns true when the tickets of one more waiting step of a queue are to be
  // renewed. Steps are to be passed in the order of their urgency. Steps with a
  // bounded wait and others have separate shares.
  bool TakeRenewal(const QueuePolicy& aQueue, bool aBoundedWait);
  // The same for a step that TakeRenewal() has left out, although it could
  // start with new tickets. These have shares of their own, as more urgent
  // steps without room may keep theirs for as long as they wait.
  bool TakeRenewalWithRoom(const QueuePolicy& aQueue);

private:
  using StepCounts = std::map<QueueName, std::size_t>;

  // Takes one renewal from the steps of a queue, and in an overload its time
  // from aHostsRenewing.
  bool Take(const QueuePolicy& aQueue,
            StepCounts& aRenewed,
            double& aHostsRenewing) const;
  // True when a renewal that is asked for now is answered only after the ticket
  // that it renews has expired.
  bool IsOverloaded(const AdvicePolicy& aPolicy) const;

  std::size_t mHosts = 1;
  PendingAdvice mPending;
  StepCounts mStepsRenewed;
  StepCounts mStepsRenewedWithRoom;
  // The hosts that the renewals of this pass occupy all the time.
  double mHostsRenewingBounded = 0;
  double mHostsRenewingOthers = 0;
  double mHostsRenewingWithRoom = 0;
};

} // namespace oriolevane::jobs
