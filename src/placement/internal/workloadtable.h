// The workloads that this placer has seen, with their policy and what was
// learned of them.
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

  // An estimate that nine tasks in ten keep; from the declaration, with a
  // margin, while there are few samples.
  std::chrono::milliseconds LikelyRunTime(
    std::chrono::milliseconds aDeclared) const;
  // An estimate that few tasks undercut; zero while there are few samples, as
  // declarations are not trusted with refusals.
  std::chrono::milliseconds LeastRunTime() const;
};

class WorkloadTable
{
public:
  WorkloadIndex Find(const WorkloadId& aWorkload,
                     const policy::CellPolicy& aPolicy);
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
