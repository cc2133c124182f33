// What the attempts of one PlaceTasks have in common.
#pragma once

#include <optional>
#include <vector>

#include "framework/types/timepoint.h"
#include "placement/internal/attemptref.h"
#include "protocol/types/placermessages.h"

namespace oriolevane::placement {

struct Batch
{
  // Its indexes are cleared; mMembers stands for them.
  protocol::PlaceTasks mOrder;
  // What one task is granted.
  Resources mPerTask;
  TeamIndex mTeam = 0;
  WorkloadIndex mWorkload = 0;
  // Submission, as the age in the message gives it.
  TimePoint mSubmitted;
  std::optional<TimePoint> mDeadline;
  std::vector<AttemptRef> mMembers;
  // While capacity is held and no commit has come.
  std::optional<TimePoint> mHeldUntil;

  // Its tasks are in the table of siblings, whatever a later policy says.
  bool mSpreadCounted = false;
  // A gang that did not fit is tried again from this time on.
  TimePoint mNextTry;

  // Its tasks are placed all at once or not at all.
  bool IsGang() const { return mOrder.mTogether || mOrder.mHold; }
};

} // namespace oriolevane::placement
