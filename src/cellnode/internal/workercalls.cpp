#include "cellnode/internal/workercalls.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace oriolevane::cellnode {

namespace {

using namespace std::chrono_literals;

constexpr ResponseTimerOptions kTiming{ .mFirst = 300ms,
                                        .mShortest = 100ms,
                                        .mLongest = 600ms };
// Calls that are not repeated at once get the timeout of a later attempt.
constexpr int kPatientAttempt = 3;
constexpr int kPollAttempt = 2;

// Timeouts that lead to longer ones must end somewhere: a silent worker is to
// be asked again soon.
Duration
TimeoutOf(const ResponseTimer& aTimer, int aAttempt)
{
  return std::min(aTimer.Timeout(aAttempt), kTiming.mLongest);
}

// A missing answer counts as one that took as long as the timeout, so that
// timeouts grow when all answers are slow.
void
NoteAnswer(ResponseTimer& aTimer,
           jobs::OrderResult aResult,
           Duration aTaken,
           Duration aTimeout)
{
  const bool missing = aResult == jobs::OrderResult::Unknown;
  aTimer.OnAnswer(missing ? aTimeout : std::min(aTaken, aTimeout));
}

} // namespace

WorkerCalls::WorkerCalls(const UpstreamHooks& aUpstreams)
  : mUpstreams(aUpstreams)
  , mTimer(std::make_shared<ResponseTimer>(kTiming))
{
}

WorkerCalls::OrderReply
WorkerCalls::Timed(Duration aTimeout, OrderReply aReply) const
{
  const TimePoint sentAt = std::chrono::steady_clock::now();
  return [timer = mTimer, sentAt, aTimeout, reply = std::move(aReply)](
           const jobs::OrderAnswer& aAnswer) {
    NoteAnswer(*timer,
               aAnswer.mResult,
               std::chrono::steady_clock::now() - sentAt,
               aTimeout);
    reply(aAnswer);
  };
}

void
WorkerCalls::Start(const jobs::StartOrder& aOrder, OrderReply aReply)
{
  const Duration timeout = TimeoutOf(*mTimer, aOrder.mAttempt);
  mUpstreams.mStart(aOrder, timeout, Timed(timeout, std::move(aReply)));
}

void
WorkerCalls::Stop(const jobs::StopOrder& aOrder, OrderReply aReply)
{
  const Duration timeout = TimeoutOf(*mTimer, kPatientAttempt);
  mUpstreams.mStop(aOrder, timeout, Timed(timeout, std::move(aReply)));
}

void
WorkerCalls::Poll(const jobs::PollOrder& aOrder, PollReply aReply)
{
  const TimePoint sentAt = std::chrono::steady_clock::now();
  const Duration timeout = TimeoutOf(*mTimer, kPollAttempt);
  const bool waits = aOrder.mWait.count() > 0;
  mUpstreams.mPoll(
    aOrder,
    aOrder.mWait + timeout,
    [timer = mTimer, sentAt, timeout, waits, reply = std::move(aReply)](
      const jobs::PollAnswer& aAnswer) {
      // How long the worker waited for an end is not known.
      if (!waits) {
        NoteAnswer(*timer,
                   aAnswer.mResult,
                   std::chrono::steady_clock::now() - sentAt,
                   timeout);
      }
      reply(sentAt, aAnswer);
    });
}

} // namespace oriolevane::cellnode
