// Watches the steps whose tasks must start within a bounded time however busy
// the cell is, and logs what a step waits for when it exceeds that time.
#pragma once

#include <vector>

#include "jobs/internal/candidates.h"
#include "jobs/types/longrunningwaits.h"

namespace oriolevane::jobs {

class WaitMonitor
{
public:
  // Notes the steps that still wait after a dispatch pass.
  void Observe(const std::vector<Candidate>& aCandidates,
               const std::vector<Worker*>& aUsable,
               TimePoint aNow);
  // The long-running steps that waited after the last pass.
  const LongRunningWaits& Waits() const { return mWaits; }

private:
  // Logs a step that waits for longer than it should.
  static void Report(const Candidate& aCandidate,
                     const std::vector<Worker*>& aUsable,
                     TimePoint aNow);

  LongRunningWaits mWaits;
};

} // namespace oriolevane::jobs
