#include "placement/internal/queuelane.h"

namespace oriolevane::placement {

void
QueueLane::Add(std::uint64_t aShapeKey, const QueueEntry& aEntry)
{
  const bool isFull = mShapes.size() >= kMostShapes;
  const std::uint64_t key =
    isFull && !mShapes.contains(aShapeKey) ? kSharedKey : aShapeKey;
  std::unique_ptr<ShapeQueue>& shape = mShapes[key];
  if (shape == nullptr) {
    shape = std::make_unique<ShapeQueue>();
    shape->mKey = key;
  } else {
    mByHead.erase(*shape->mEntries.begin());
  }
  shape->mEntries.insert(aEntry);
  mByHead.emplace(*shape->mEntries.begin(), shape.get());
  // The head may have moved to before the cursor.
  mPass = 0;
}

ShapeQueue*
QueueLane::Best(std::uint64_t aPass)
{
  auto next = mByHead.begin();
  if (mPass == aPass) {
    next = mByHead.lower_bound(mCursor);
  }
  mPass = aPass;
  while (next != mByHead.end() && next->second->mSkippedIn == aPass) {
    ++next;
  }
  if (next == mByHead.end()) {
    // After all heads.
    mCursor = { .mStartBy = TimePoint::max() };
    return nullptr;
  }
  mCursor = next->first;
  return next->second;
}

bool
QueueLane::Remove(ShapeQueue* aShape, const QueueEntry& aEntry)
{
  const bool isHead = !(*aShape->mEntries.begin() < aEntry);
  if (!isHead) {
    aShape->mEntries.erase(aEntry);
    return true;
  }
  mByHead.erase(aEntry);
  aShape->mEntries.erase(aShape->mEntries.begin());
  if (aShape->mEntries.empty()) {
    mShapes.erase(aShape->mKey);
    return false;
  }
  mByHead.emplace(*aShape->mEntries.begin(), aShape);
  return true;
}

} // namespace oriolevane::placement
