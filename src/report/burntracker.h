// The report on service-level burn: per workload and per team, how much of the
// error budget the last windows used.
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "coordination/types/objectivesample.h"
#include "framework/types/timepoint.h"
#include "policy/types/cellpolicy.h"
#include "report/slidingcounter.h"
#include "report/types/burnwindow.h"

namespace oriolevane::report {

// One line of the report.
struct BurnLine
{
  // "workload" or "team".
  std::string mKind;
  std::string mName;
  double mObjective = 0;
  // Starts within the tolerated wait, and deadlines, of the samples of this
  // node.
  std::vector<BurnWindow> mWindows;
  // True when a short and a long window both burn faster than they may.
  bool mAlarm = false;
};

// Thread-safe. Only workloads and teams of the configuration have lines, so
// that memory and labels are bounded.
class BurnTracker
{
public:
  void SetPolicy(std::shared_ptr<const policy::CellPolicy> aPolicy);
  void Add(const coordination::ObjectiveSample& aSample, TimePoint aNow);
  std::vector<BurnLine> Report(TimePoint aNow) const;

private:
  BurnLine Line(std::string aKind,
                std::string aName,
                double aObjective,
                const SlidingCounter& aCounter,
                TimePoint aNow) const;

  mutable std::mutex mMutex;
  std::shared_ptr<const policy::CellPolicy> mPolicy;
  std::map<WorkloadId, SlidingCounter> mWorkloads;
  std::map<TeamId, SlidingCounter> mTeams;
};

// {"lines": [...]}, sorted by burn rate of the shortest window, highest first.
std::string
ReportJson(std::vector<BurnLine> aLines);

} // namespace oriolevane::report
