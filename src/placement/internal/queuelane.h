// Waiting tasks in order, without head-of-line blocking between shapes.
#pragma once

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "placement/internal/shapequeue.h"

namespace oriolevane::placement {

// The number of shapes kept apart is bounded; shapes beyond it share one queue,
// in which a task at the head may hold up those behind it.
class QueueLane
{
public:
  void Add(std::uint64_t aShapeKey, const QueueEntry& aEntry);
  // The queue with the most pressing head that was not skipped in this pass;
  // null when there is none. Heads may be stale.
  ShapeQueue* Best(std::uint64_t aPass);
  // Removes the head of the queue, and the queue when it is empty then; the
  // pointer is not to be used afterwards in that case.
  void PopHead(ShapeQueue* aShape);
  bool IsEmpty() const { return mShapes.empty(); }

private:
  static constexpr std::size_t kMostShapes = 64;
  static constexpr std::uint64_t kSharedKey = 0;

  std::vector<std::unique_ptr<ShapeQueue>> mShapes;
  std::unordered_map<std::uint64_t, ShapeQueue*> mByKey;
};

} // namespace oriolevane::placement
