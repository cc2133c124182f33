// Waiting, deadlines and packing of one run of a trace.
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

#include "figures.h"
#include "protocol/types/workermessages.h"
#include "traces.h"

namespace oriolevane::bench {

// Shares are sampled this often, from a quarter of the trace on.
constexpr std::chrono::milliseconds kSampleEvery{ 10'000 };
inline std::chrono::milliseconds
FirstSample(const Trace& aTrace)
{
  return aTrace.mLength / 4;
}

// Keeps references to the trace and to the workers.
class Judge
{
public:
  Judge(const Trace& aTrace, const std::vector<protocol::WorkerInfo>& aWorkers);

  // A task started, this long after the start of the trace. Waits count once
  // for each task, at its first start.
  void Started(const protocol::TaskKey& aKey, std::chrono::milliseconds aAt);
  // What is granted on each worker now.
  void Sample(const std::vector<Resources>& aUsed);
  // Adds the figures. Tasks that never started waited until the end.
  void Report(Figures& aFigures, const std::string& aName);

private:
  static constexpr std::size_t kUrgencies = 3;

  // Nothing when the trace ends before it.
  std::optional<std::chrono::milliseconds> DeadlineOf(
    const TraceItem& aItem) const;
  void ReportShares(Figures& aFigures, const std::string& aName) const;

  const Trace& mTrace;
  const std::vector<protocol::WorkerInfo>& mWorkers;
  std::map<RequestId, const TraceItem*> mItems;
  std::set<std::pair<RequestId, std::uint32_t>> mStarted;
  // Seconds, by urgency.
  std::array<std::vector<double>, kUrgencies> mWaits;
  std::uint64_t mKept = 0;
  Resources mCapacity;
  Resources mUsed;
  Resources mStranded;
};

} // namespace oriolevane::bench
