// Decides how much of the policy service's time a step may take, from how busy
// the hosts that query the service are. It answers loads of wide gangs: the
// more workers a gang may choose from, the sooner it starts, but queries and
// the renewal of tickets occupy the hosts.
#pragma once

#include <cstddef>

namespace oriolevane::jobs {

class AdviceBudget
{
public:
  // Sets the number of hosts that can query the service at the same time, and
  // the number of queries that all steps have pending.
  void SetLoad(std::size_t aHosts, std::size_t aPendingQueries);
  // The number of queries that one step may have at the same time.
  std::size_t MaxParallelQueries() const;
  // The number of approved workers to aim for, relative to the workers that
  // would hold the step if they were empty.
  double TargetRoomFactor() const;
  // The number of waiting steps of a queue whose tickets are renewed.
  std::size_t MaxStepsRenewedPerQueue() const;

private:
  std::size_t mHosts = 1;
  std::size_t mPendingQueries = 0;
};

} // namespace oriolevane::jobs
