// The data that all attempts of one PlaceTasks message share.
#pragma once

#include <optional>
#include <vector>

#include "framework/types/timepoint.h"
#include "placement/internal/attemptref.h"
#include "protocol/types/placermessages.h"

namespace oriolevane::placement {

// Owned jointly by its attempts.
struct Batch
{
  // The message, with its task indexes cleared; mMembers replaces them.
  protocol::PlaceTasks mPlaceTasks;
  // The resources that one task is granted.
  Resources mPerTask;
  TeamIndex mTeam = 0;
  WorkloadIndex mWorkload = 0;
  // Submission time, computed from the age in the message.
  TimePoint mSubmitted;
  std::optional<TimePoint> mDeadline;
  std::vector<AttemptRef> mMembers;
  // Set while the gang's resources are held and CommitHold has not arrived:
  // when the hold expires.
  std::optional<TimePoint> mHeldUntil;

  // Its tasks are in the spread counts and must be removed from them even when
  // a later policy does not spread the workload.
  bool mSpreadCounted = false;
  // When a gang that did not fit may be tried again.
  TimePoint mNextTry;

  // True when its tasks must be placed all together or not at all.
  bool IsGang() const { return mPlaceTasks.mTogether || mPlaceTasks.mHold; }
};

} // namespace oriolevane::placement
