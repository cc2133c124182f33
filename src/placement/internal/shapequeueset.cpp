#include "placement/internal/shapequeueset.h"

namespace oriolevane::placement {

void
ShapeQueueSet::Add(std::uint64_t aShapeKey, const QueueEntry& aEntry)
{
  const bool isFull = mQueues.size() >= kMaxShapes;
  const std::uint64_t key =
    isFull && !mQueues.contains(aShapeKey) ? kSharedKey : aShapeKey;
  std::unique_ptr<ShapeQueue>& shape = mQueues[key];
  if (shape == nullptr) {
    shape = std::make_unique<ShapeQueue>();
    shape->mKey = key;
  } else {
    mQueuesByHead.erase(*shape->mEntries.begin());
  }
  shape->mEntries.insert(aEntry);
  mQueuesByHead.emplace(*shape->mEntries.begin(), shape.get());
  // The new entry may be a head before the cursor; the next search starts from
  // the beginning.
  mPass = 0;
}

ShapeQueue*
ShapeQueueSet::NextQueue(std::uint64_t aPass)
{
  auto next = mQueuesByHead.begin();
  if (mPass == aPass) {
    next = mQueuesByHead.lower_bound(mCursor);
  }
  mPass = aPass;
  while (next != mQueuesByHead.end() && next->second->mSkippedInPass == aPass) {
    ++next;
  }
  if (next == mQueuesByHead.end()) {
    // Place the cursor after all heads.
    mCursor = { .mStartBy = TimePoint::max() };
    return nullptr;
  }
  mCursor = next->first;
  return next->second;
}

bool
ShapeQueueSet::Remove(ShapeQueue* aShape, const QueueEntry& aEntry)
{
  const bool isHead = !(*aShape->mEntries.begin() < aEntry);
  if (!isHead) {
    aShape->mEntries.erase(aEntry);
    return true;
  }
  mQueuesByHead.erase(aEntry);
  aShape->mEntries.erase(aShape->mEntries.begin());
  if (aShape->mEntries.empty()) {
    mQueues.erase(aShape->mKey);
    return false;
  }
  mQueuesByHead.emplace(*aShape->mEntries.begin(), aShape);
  return true;
}

} // namespace oriolevane::placement
