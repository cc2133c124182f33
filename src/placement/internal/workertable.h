// All workers of a shard, by dense index and by name.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

#include "placement/internal/workerrecord.h"

namespace oriolevane::placement {

// References stay valid until the worker is erased.
class WorkerTable
{
public:
  // kNoWorker when absent.
  WorkerIndex Find(const WorkerId& aWorker) const;
  // Adds the worker, or renews what is listed of a known one.
  WorkerIndex Put(const protocol::WorkerInfo& aInfo);
  void Erase(WorkerIndex aIndex);
  // True when the slot still holds the worker that had this generation.
  bool IsCurrent(WorkerIndex aIndex, std::uint32_t aGeneration) const;
  WorkerRecord& At(WorkerIndex aIndex) { return mWorkers[aIndex]; }
  const WorkerRecord& At(WorkerIndex aIndex) const { return mWorkers[aIndex]; }
  // Slots, in use or not.
  WorkerIndex SlotCount() const
  {
    return static_cast<WorkerIndex>(mWorkers.size());
  }

  // Visits all workers in the order of their slots.
  template<typename Visitor>
  void ForEach(const Visitor& aVisitor)
  {
    for (WorkerIndex index = 0; index < mWorkers.size(); ++index) {
      if (!mWorkers[index].mInfo.mWorker.Empty()) {
        aVisitor(index, mWorkers[index]);
      }
    }
  }

private:
  std::deque<WorkerRecord> mWorkers;
  std::vector<WorkerIndex> mFree;
  std::unordered_map<WorkerId, WorkerIndex> mByName;
  std::map<ZoneId, std::uint16_t> mZones;
  std::map<RackId, std::uint32_t> mRacks;
};

} // namespace oriolevane::placement
