// What the owner of a shard knows of the lease of a worker's tasks.
#pragma once

#include <algorithm>
#include <chrono>

#include "framework/types/timepoint.h"
#include "jobs/types/scheduleroptions.h"
#include "jobs/types/workerreport.h"

namespace oriolevane::jobs {

// The lease of a worker's tasks. Each poll and start order extends it to a time
// by the clock of the process that the order is meant for.
//
// A process that has started under the same id since may carry the order out as
// well. By its clock the time can be far ahead, so that its lease becomes the
// longest one that a worker accepts. That is over once the process has seen the
// fencing token of a later order and this longest lease has passed: its lease
// is settled from then on.
//
// A former process may still end its runs while its successor answers, so they
// have ended only when its lease allows that.
//
// A worker may need as long to end the runs whose lease has expired as it may
// take to stop one, so they have ended only some time after the lease.
class WorkerLease
{
public:
  // By when all runs under the worker's id have ended, unless the lease is
  // extended.
  TimePoint RunsEndBy() const
  {
    return std::max(mPresentRunsEndBy, mFormerRunsEndBy);
  }
  // By when those of the worker's former processes have ended.
  TimePoint FormerRunsEndBy() const { return mFormerRunsEndBy; }
  // The process whose lease is settled; empty for none. The next owner has to
  // know it.
  WorkerIncarnation SettledIncarnation() const { return mSettled; }

  // Notes that no order that extends the lease has ever been sent to a process
  // under the worker's id.
  void BeginSettled(WorkerIncarnation aFirst) { mSettled = aFirst; }
  // Restores what an earlier owner has recorded.
  void Recover(WorkerIncarnation aSettled,
               TimePoint aNow,
               const SchedulerOptions& aOptions);
  // Notes that the earlier owner sends nothing any more.
  void EndPredecessor(TimePoint aNow, const SchedulerOptions& aOptions);
  // Notes that all runs that earlier owners started have ended by aEnd. To be
  // called before this node extends the lease.
  void EndPredecessorsRunsBy(TimePoint aEnd);
  // Notes that this node extends the lease by aLength from now on.
  void Extend(TimePoint aNow,
              Duration aLength,
              const SchedulerOptions& aOptions);

  // Each of these returns true when SettledIncarnation() has changed.

  // Notes that another process uses the worker's id.
  bool BeginIncarnation();
  // Notes that the present process has seen a token with which it refuses the
  // orders of earlier owners and those for earlier processes.
  bool RefuseEarlierOrders(WorkerIncarnation aPresent,
                           TimePoint aNow,
                           const SchedulerOptions& aOptions);
  // Settles the lease if the longest one has passed.
  bool Settle(WorkerIncarnation aPresent, TimePoint aNow);

private:
  bool IsSettled() const { return mSettled != WorkerIncarnation(); }
  bool Unsettle();

  TimePoint mPresentRunsEndBy;
  TimePoint mFormerRunsEndBy;
  WorkerIncarnation mSettled;
  // The present process refuses the orders of earlier owners and those for
  // earlier processes.
  bool mRefusesEarlierOrders = false;
  // When the longest lease that such an order can have given is over.
  TimePoint mSettlesAt;
};

} // namespace oriolevane::jobs
