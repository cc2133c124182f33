// Waiting times, deadlines and packing in one run of a trace.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "benchresults.h"
#include "protocol/types/workermessages.h"
#include "traces.h"

namespace oriolevane::bench {

// Interval at which the granted resources are sampled.
constexpr std::chrono::milliseconds kSampleInterval{ 10'000 };
// Sampling starts after a quarter of the trace.
inline std::chrono::milliseconds
FirstSampleTime(const Trace& aTrace)
{
  return aTrace.mLength / 4;
}

// Collects the metrics of one run. Keeps references to the trace and to the
// workers.
class TraceMetrics
{
public:
  TraceMetrics(const Trace& aTrace,
               const std::vector<protocol::WorkerInfo>& aWorkers);

  // Records that a task started aAt after the start of the trace. Only the
  // first start of each task counts.
  void RecordStart(const protocol::TaskKey& aKey,
                   std::chrono::milliseconds aAt);
  // Records the resources that are granted on each worker now.
  void RecordUsage(const std::vector<Resources>& aUsed);
  // Adds the results under this name. Tasks that never started count as waiting
  // until the end of the trace.
  void AddResults(BenchResults& aResults, const std::string& aName);

private:
  static constexpr std::size_t kUrgencyCount = 3;

  // Deadline from the start of the trace. Empty if there is none or if the
  // trace ends before it.
  std::optional<std::chrono::milliseconds> DeadlineInTrace(
    const TraceItem& aItem) const;
  void AddShares(BenchResults& aResults, const std::string& aName) const;

  const Trace& mTrace;
  const std::vector<protocol::WorkerInfo>& mWorkers;
  std::map<RequestId, const TraceItem*> mItems;
  std::set<std::pair<RequestId, std::uint32_t>> mStarted;
  // Waiting times in seconds, by urgency.
  std::array<std::vector<double>, kUrgencyCount> mWaits;
  // Tasks that started early enough to end by their deadline.
  std::uint64_t mDeadlinesMet = 0;
  // Sums over all samples and workers. Stranded resources are the free ones of
  // a worker that has less than one slot, one core or 4 GiB of memory left.
  Resources mCapacity;
  Resources mUsed;
  Resources mStranded;
};

} // namespace oriolevane::bench
