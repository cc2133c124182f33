#include "placement/internal/queuelane.h"

#include <algorithm>

namespace oriolevane::placement {

void
QueueLane::Add(std::uint64_t aShapeKey, const QueueEntry& aEntry)
{
  const bool isFull = mShapes.size() >= kMostShapes;
  const std::uint64_t key =
    isFull && !mByKey.contains(aShapeKey) ? kSharedKey : aShapeKey;
  ShapeQueue*& shape = mByKey[key];
  if (shape == nullptr) {
    mShapes.push_back(std::make_unique<ShapeQueue>());
    shape = mShapes.back().get();
    shape->mKey = key;
  }
  shape->mEntries.push(aEntry);
  if (key == kSharedKey) {
    shape->mHasFailed = false;
  }
}

ShapeQueue*
QueueLane::Best(std::uint64_t aPass)
{
  ShapeQueue* best = nullptr;
  for (const std::unique_ptr<ShapeQueue>& shape : mShapes) {
    if (shape->mSkippedIn == aPass) {
      continue;
    }
    if (best == nullptr || shape->mEntries.top() < best->mEntries.top()) {
      best = shape.get();
    }
  }
  return best;
}

void
QueueLane::PopHead(ShapeQueue* aShape)
{
  aShape->mEntries.pop();
  if (aShape->mKey == kSharedKey) {
    aShape->mHasFailed = false;
  }
  if (!aShape->mEntries.empty()) {
    return;
  }
  mByKey.erase(aShape->mKey);
  const auto place =
    std::find_if(mShapes.begin(), mShapes.end(), [aShape](const auto& aOther) {
      return aOther.get() == aShape;
    });
  *place = std::move(mShapes.back());
  mShapes.pop_back();
}

} // namespace oriolevane::placement
