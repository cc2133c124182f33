// Watches the steps that wait to start, and logs what a step waits for when its
// wait cannot be explained by a full cell or exceeds a bound.
#pragma once

#include <cstddef>
#include <vector>

#include "jobs/internal/candidates.h"
#include "jobs/internal/usableworkers.h"
#include "jobs/types/longrunningwaits.h"

namespace oriolevane::jobs {

class WaitMonitor
{
public:
  // Notes the steps that still wait after a dispatch pass. aCandidates are in
  // the order in which they were considered.
  void Observe(const std::vector<Candidate>& aCandidates,
               const UsableWorkers& aUsable,
               TimePoint aNow);
  // The long-running steps that waited after the last pass.
  const LongRunningWaits& Waits() const { return mWaits; }

private:
  // Logs a long-running step that waits for longer than it should, and another
  // step that has waited for long although approved workers have room, or so
  // many others that the step needs no more.
  void ReportIfDue(const std::vector<Candidate>& aCandidates,
                   std::size_t aIndex,
                   const UsableWorkers& aUsable,
                   TimePoint aNow);

  LongRunningWaits mWaits;
  // Steps that were logged in the current pass.
  int mReports = 0;
};

} // namespace oriolevane::jobs
