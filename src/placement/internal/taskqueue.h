// All waiting tasks of a shard, by urgency level.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

#include "placement/internal/placercontext.h"
#include "placement/internal/queuelane.h"

namespace oriolevane::placement {

struct QueueLevel
{
  // Tasks whose latest useful start is near, of all teams.
  QueueLane mPressing;
  // By team.
  std::vector<QueueLane> mTeams;
  // Teams with waiting tasks.
  std::set<TeamIndex> mActive;
  // Gangs, by their first waiting member.
  std::set<QueueEntry> mGangs;
};

class TaskQueue
{
public:
  explicit TaskQueue(PlacerContext& aContext)
    : mContext(aContext)
  {
  }

  // Queues the waiting attempts of a batch.
  void AddBatch(Batch& aBatch);
  // An attempt has waited for one aging step.
  void Raise(const AttemptRef& aRef);
  // The latest useful start of an attempt is near.
  void Press(const AttemptRef& aRef);
  // True while the entry stands for a waiting attempt of this level.
  bool IsStale(const QueueEntry& aEntry, std::size_t aLevel) const;
  // The latest time at which a task of the batch can start and keep its
  // deadline; nothing without a deadline.
  std::optional<TimePoint> LatestStart(const Batch& aBatch) const;
  QueueLevel& Level(std::size_t aLevel) { return mLevels[aLevel]; }
  // All waiting tasks.
  std::size_t Waiting() const;

private:
  static std::uint64_t ShapeKeyOf(const Batch& aBatch);
  QueueEntry EntryFor(const AttemptRef& aRef, const Batch& aBatch);
  void AddToLevel(const AttemptRef& aRef, const Batch& aBatch);
  void SetTimers(const AttemptRef& aRef, const Batch& aBatch);

  PlacerContext& mContext;
  std::array<QueueLevel, protocol::kUrgencyLevels> mLevels;
  std::uint64_t mNumber = 0;
};

} // namespace oriolevane::placement
