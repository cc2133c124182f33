#include "placement/internal/workertable.h"

namespace oriolevane::placement {

WorkerIndex
WorkerTable::Find(const WorkerId& aWorker) const
{
  const auto found = mByName.find(aWorker);
  return found == mByName.end() ? kNoWorker : found->second;
}

WorkerIndex
WorkerTable::Put(const protocol::WorkerInfo& aInfo)
{
  WorkerIndex index = Find(aInfo.mWorker);
  if (index == kNoWorker) {
    if (mFreeSlots.empty()) {
      index = SlotCount();
      mWorkers.emplace_back();
    } else {
      index = mFreeSlots.back();
      mFreeSlots.pop_back();
    }
    mByName.emplace(aInfo.mWorker, index);
  }
  WorkerRecord& worker = mWorkers[index];
  worker.mInfo = aInfo;
  worker.mListed = true;
  const auto zoneCount = static_cast<std::uint16_t>(mZones.size());
  worker.mZone = mZones.try_emplace(aInfo.mZone, zoneCount).first->second;
  const auto rackCount = static_cast<std::uint32_t>(mRacks.size());
  worker.mRack = mRacks.try_emplace(aInfo.mRack, rackCount).first->second;
  return index;
}

void
WorkerTable::Erase(WorkerIndex aIndex)
{
  WorkerRecord& worker = mWorkers[aIndex];
  const std::uint32_t generation = worker.mGeneration + 1;
  mByName.erase(worker.mInfo.mWorker);
  worker = WorkerRecord{};
  worker.mGeneration = generation;
  mFreeSlots.push_back(aIndex);
}

bool
WorkerTable::IsCurrent(WorkerIndex aIndex, std::uint32_t aGeneration) const
{
  return mWorkers[aIndex].mGeneration == aGeneration;
}

} // namespace oriolevane::placement
