#include "cellnode/recordingforecast.h"

#include <algorithm>

namespace oriolevane::cellnode {

Duration
RemainingCommitTime(const RecordingState& aState)
{
  if (aState.mOutstanding == Duration::zero()) {
    return Duration::zero();
  }
  return std::max(aState.mCommitTime - aState.mOutstanding, Duration::zero());
}

Duration
ExpectedRecordingTime(const RecordingState& aState)
{
  const auto transactions =
    static_cast<std::int64_t>(1 + aState.mWaitingRecords / aState.mMaxRecords);
  return RemainingCommitTime(aState) + transactions * aState.mCommitTime;
}

} // namespace oriolevane::cellnode
