// Orders waiting tasks without head-of-line blocking between shapes, that is,
// between tasks that need different amounts of resources.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>

#include "placement/internal/shapequeue.h"

namespace oriolevane::placement {

// Keeps one queue per shape. The number of queues is bounded; further shapes
// share one queue.
class ShapeQueueSet
{
public:
  // Adds an entry to the queue of its shape.
  void Add(std::uint64_t aShapeKey, const QueueEntry& aEntry);
  // Returns the queue whose head has the earliest start time among those that
  // were not skipped in this pass, or null when there is none. Heads may be
  // stale.
  ShapeQueue* NextQueue(std::uint64_t aPass);
  // Removes an entry. When it was the last one, also deletes the queue and
  // returns false; aShape is then invalid.
  bool Remove(ShapeQueue* aShape, const QueueEntry& aEntry);
  bool IsEmpty() const { return mQueues.empty(); }

private:
  static constexpr std::size_t kMaxShapes = 256;
  static constexpr std::uint64_t kSharedKey = 0;

  std::unordered_map<std::uint64_t, std::unique_ptr<ShapeQueue>> mQueues;
  // The queues ordered by their heads, whose sequence numbers are unique.
  std::map<QueueEntry, ShapeQueue*> mQueuesByHead;
  // All queues with heads before mCursor were skipped in pass mPass. Within a
  // pass a head only moves to a later entry, unless an entry is added.
  std::uint64_t mPass = 0;
  QueueEntry mCursor;
};

} // namespace oriolevane::placement
