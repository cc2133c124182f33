// Queue of all waiting tasks of a shard, by urgency level.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

#include "placement/internal/placercontext.h"
#include "placement/internal/shapequeueset.h"

namespace oriolevane::placement {

// The waiting tasks of one urgency level.
struct QueueLevel
{
  // Tasks of all teams whose latest start for the deadline is near. They go
  // before the fair order of the teams.
  ShapeQueueSet mNearDeadline;
  // Queues indexed by TeamIndex.
  std::vector<ShapeQueueSet> mTeams;
  // Teams that may have waiting tasks.
  std::set<TeamIndex> mActiveTeams;
  // Gangs, each represented by its first waiting member.
  std::set<QueueEntry> mGangs;
};

// An entry stays when its attempt leaves the queue; IsStale() detects that.
class TaskQueue
{
public:
  explicit TaskQueue(PlacerContext& aContext)
    : mContext(aContext)
  {
  }

  // Adds the waiting attempts of a batch.
  void AddBatch(Batch& aBatch);
  // Raises a waiting attempt by one urgency level because of its age.
  void Raise(const AttemptRef& aRef);
  // Adds an attempt whose latest start is near to the queues that go before the
  // fair order.
  void AddToNearDeadline(const AttemptRef& aRef);
  // Returns true when the entry no longer represents a waiting attempt of this
  // level.
  bool IsStale(const QueueEntry& aEntry, std::size_t aLevel) const;
  // Returns the latest time at which a task of the batch can start and still
  // meet its deadline, or nothing without a deadline.
  std::optional<TimePoint> LatestStart(const Batch& aBatch) const;
  QueueLevel& Level(std::size_t aLevel) { return mLevels[aLevel]; }
  // Returns the number of entries added so far, including moved ones.
  std::uint64_t AddedCount() const { return mAddedCount; }
  // Returns the number of waiting tasks of all levels.
  std::size_t Waiting() const;

private:
  // Packs the size classes of the needs of one task into 64 bits.
  static std::uint64_t ShapeKeyOf(const Batch& aBatch);
  QueueEntry EntryFor(const AttemptRef& aRef, const Batch& aBatch);
  void AddToLevel(const AttemptRef& aRef, const Batch& aBatch);
  // Updates the mean needs per accelerator that are kept in the context.
  void UpdateNeedPerAccelerator(const Resources& aNeed);
  void SetTimers(const AttemptRef& aRef, const Batch& aBatch);

  PlacerContext& mContext;
  std::array<QueueLevel, protocol::kUrgencyLevels> mLevels;
  std::uint64_t mAddedCount = 0;
};

} // namespace oriolevane::placement
