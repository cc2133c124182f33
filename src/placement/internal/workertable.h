// Table of all workers of a shard, accessed by dense index or by name.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

#include "placement/internal/workerrecord.h"

namespace oriolevane::placement {

// References to records stay valid until the worker is erased.
class WorkerTable
{
public:
  // Returns kNoWorker when the worker is absent.
  WorkerIndex Find(const WorkerId& aWorker) const;
  // Adds the worker, or updates the listed information of a known one.
  WorkerIndex Put(const protocol::WorkerInfo& aInfo);
  // Frees the slot of the worker for reuse under a new generation.
  void Erase(WorkerIndex aIndex);
  // Returns true when the slot still has this generation, and so still holds
  // the same worker.
  bool IsCurrent(WorkerIndex aIndex, std::uint32_t aGeneration) const;
  WorkerRecord& At(WorkerIndex aIndex) { return mWorkers[aIndex]; }
  const WorkerRecord& At(WorkerIndex aIndex) const { return mWorkers[aIndex]; }
  // Number of slots, including free ones.
  WorkerIndex SlotCount() const
  {
    return static_cast<WorkerIndex>(mWorkers.size());
  }

  // Visits all workers in slot order.
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
  std::vector<WorkerIndex> mFreeSlots;
  std::unordered_map<WorkerId, WorkerIndex> mByName;
  std::map<ZoneId, std::uint16_t> mZones;
  std::map<RackId, std::uint32_t> mRacks;
};

} // namespace oriolevane::placement
