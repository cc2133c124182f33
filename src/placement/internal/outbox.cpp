#include "placement/internal/outbox.h"

namespace oriolevane::placement {

void
Outbox::SendState(const Attempt& aAttempt, const WorkerId& aWorker)
{
  Send(protocol::TaskUpdate{ .mRoute = RouteTo(aAttempt.mPartition),
                             .mTask = aAttempt.mKey,
                             .mState = aAttempt.mState,
                             .mReason = aAttempt.mReason,
                             .mWorker = aWorker,
                             .mAnswer = aAttempt.mAnswer,
                             .mRetryAfter = aAttempt.mRetryAfter });
}

} // namespace oriolevane::placement
