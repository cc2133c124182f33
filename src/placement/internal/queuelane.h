// Waiting tasks in order, without head-of-line blocking between shapes.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>

#include "placement/internal/shapequeue.h"

namespace oriolevane::placement {

// The number of shapes kept apart is bounded; shapes beyond it share one queue.
class QueueLane
{
public:
  void Add(std::uint64_t aShapeKey, const QueueEntry& aEntry);
  // The queue with the most pressing head that was not skipped in this pass;
  // null when there is none. Heads may be stale.
  ShapeQueue* Best(std::uint64_t aPass);
  // Removes an entry, and the queue when it was the last; the pointer is not to
  // be used afterwards in that case. Returns false then.
  bool Remove(ShapeQueue* aShape, const QueueEntry& aEntry);
  bool IsEmpty() const { return mShapes.empty(); }

private:
  static constexpr std::size_t kMostShapes = 256;
  static constexpr std::uint64_t kSharedKey = 0;

  std::unordered_map<std::uint64_t, std::unique_ptr<ShapeQueue>> mShapes;
  // By their heads, whose numbers are unique.
  std::map<QueueEntry, ShapeQueue*> mByHead;
  // Queues with earlier heads were skipped in mPass: within a pass heads only
  // move back.
  std::uint64_t mPass = 0;
  QueueEntry mCursor;
};

} // namespace oriolevane::placement
