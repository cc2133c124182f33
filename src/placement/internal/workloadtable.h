// Table of the workloads known to this placer, with their policies and
// statistics.
#pragma once

#include <chrono>
#include <deque>
#include <unordered_map>

#include "placement/internal/handles.h"
#include "placement/internal/workloadstats.h"
#include "policy/types/cellpolicy.h"

namespace oriolevane::placement {

struct WorkloadRecord
{
  WorkloadId mWorkload;
  // The default policy when the configuration does not name the workload.
  policy::WorkloadPolicy mPolicy;
  WorkloadStats mStats;

  // Returns a run time that about nine in ten tasks do not exceed. With few
  // samples it is the declared run time times a margin.
  std::chrono::milliseconds LikelyMaxRunTime(
    std::chrono::milliseconds aDeclared) const;
  // Returns a run time that few tasks fall below. With few samples it is zero:
  // a task is never refused on the basis of a declared run time.
  std::chrono::milliseconds LikelyMinRunTime() const;
};

// Workloads are added at first use and never removed.
class WorkloadTable
{
public:
  // Returns the index of the workload, adding it when it is unknown.
  WorkloadIndex FindOrAdd(const WorkloadId& aWorkload,
                          const policy::CellPolicy& aPolicy);
  // Applies a new policy to all known workloads.
  void Apply(const policy::CellPolicy& aPolicy);
  WorkloadRecord& At(WorkloadIndex aIndex) { return mWorkloads[aIndex]; }
  const WorkloadRecord& At(WorkloadIndex aIndex) const
  {
    return mWorkloads[aIndex];
  }

private:
  std::deque<WorkloadRecord> mWorkloads;
  std::unordered_map<WorkloadId, WorkloadIndex> mByName;
};

} // namespace oriolevane::placement
