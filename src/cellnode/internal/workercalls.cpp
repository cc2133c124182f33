#include "cellnode/internal/workercalls.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "framework/steadynow.h"

namespace oriolevane::cellnode {

namespace {

using namespace std::chrono_literals;

constexpr TimeoutEstimatorOptions kTimeoutOptions{ .mInitial = 300ms,
                                                   .mMin = 100ms,
                                                   .mMax = 600ms };
// A call that is not repeated at once gets the longer timeout of a later
// attempt.
constexpr int kStopTimeoutAttempt = 3;
constexpr int kPollTimeoutAttempt = 2;

// Limits the timeout. A missing answer counts as a round trip of the timeout's
// length, so timeouts would grow without bound, and an unresponsive worker must
// be called again soon.
Duration
CappedTimeout(const TimeoutEstimator& aEstimator, int aAttempt)
{
  return std::min(aEstimator.Timeout(aAttempt), kTimeoutOptions.mMax);
}

// Updates the estimate. A missing answer counts as a round trip of the
// timeout's length, so that timeouts grow when all answers are slow.
void
UpdateEstimate(TimeoutEstimator& aEstimator,
               jobs::OrderResult aResult,
               Duration aTaken,
               Duration aTimeout)
{
  const bool missing = aResult == jobs::OrderResult::Unknown;
  aEstimator.OnAnswer(missing ? aTimeout : std::min(aTaken, aTimeout));
}

} // namespace

WorkerCalls::WorkerCalls(const UpstreamHooks& aUpstreams)
  : mUpstreams(aUpstreams)
  , mTimeoutEstimator(std::make_shared<TimeoutEstimator>(kTimeoutOptions))
{
}

WorkerCalls::OrderReply
WorkerCalls::MeasureRoundTrip(Duration aTimeout, OrderReply aReply) const
{
  const TimePoint sentAt = SteadyNow();
  return [estimator = mTimeoutEstimator,
          sentAt,
          aTimeout,
          reply = std::move(aReply)](const jobs::OrderAnswer& aAnswer) {
    UpdateEstimate(*estimator, aAnswer.mResult, SteadyNow() - sentAt, aTimeout);
    reply(aAnswer);
  };
}

void
WorkerCalls::Start(const jobs::StartOrder& aOrder, OrderReply aReply)
{
  const Duration timeout = CappedTimeout(*mTimeoutEstimator, aOrder.mAttempt);
  mUpstreams.mStart(
    aOrder, timeout, MeasureRoundTrip(timeout, std::move(aReply)));
}

void
WorkerCalls::Stop(const jobs::StopOrder& aOrder, OrderReply aReply)
{
  const Duration timeout =
    CappedTimeout(*mTimeoutEstimator, kStopTimeoutAttempt);
  mUpstreams.mStop(
    aOrder, timeout, MeasureRoundTrip(timeout, std::move(aReply)));
}

void
WorkerCalls::Poll(const jobs::PollOrder& aOrder, PollReply aReply)
{
  const TimePoint sentAt = SteadyNow();
  const Duration timeout =
    CappedTimeout(*mTimeoutEstimator, kPollTimeoutAttempt);
  const bool waits = aOrder.mWait.count() > 0;
  mUpstreams.mPoll(
    aOrder,
    aOrder.mWait + timeout,
    [estimator = mTimeoutEstimator,
     sentAt,
     timeout,
     waits,
     reply = std::move(aReply)](const jobs::PollAnswer& aAnswer) {
      // The answer of a waiting poll includes an unknown time that the worker
      // waited for a run to end.
      if (!waits) {
        UpdateEstimate(
          *estimator, aAnswer.mResult, SteadyNow() - sentAt, timeout);
      }
      reply(sentAt, aAnswer);
    });
}

} // namespace oriolevane::cellnode
