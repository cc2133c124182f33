#include "cellnode/internal/callerqueue.h"

#include <utility>

#include "framework/log.h"

namespace oriolevane::cellnode {

namespace {

using namespace std::chrono_literals;

// A submission that no owner has seen is refused after this time.
constexpr std::chrono::milliseconds kLongestWaitForOwner = 300ms;
constexpr std::chrono::milliseconds kRetryWithoutOwner = 1000ms;
// Other requests are answered by then, as their callers give up soon after.
constexpr std::chrono::milliseconds kLongestWait = 2500ms;

// Refusals and unknown outcomes explain what a caller saw; the rest is routine.
void
LogAnswer(const CallerRequest& aRequest, const CallerAnswer& aAnswer)
{
  const bool routine = aAnswer.mKind != CallerAnswerKind::Refused &&
                       aAnswer.mKind != CallerAnswerKind::Undetermined &&
                       aAnswer.mKind != CallerAnswerKind::Malformed;
  LogEvent(routine ? LogLevel::Debug : LogLevel::Info, "caller_answered")
    .With("verb", static_cast<int>(aRequest.mVerb))
    .With("path", aRequest.mPath)
    .With("version", aRequest.mVersion)
    .With("kind", static_cast<int>(aAnswer.mKind))
    .With("retry_after_ms", aAnswer.mRetryAfter.count())
    .With("reason", aAnswer.mMessage);
}

} // namespace

// A request that no owner has seen, or that changes nothing, has not been done.
CallerAnswer
CallerQueue::AnswerWithoutOwner(const Call& aCall)
{
  if (!aCall.mEverSent || aCall.mRequest.mVerb == CallerVerb::Ask) {
    return { .mKind = CallerAnswerKind::Refused,
             .mRetryAfter = kRetryWithoutOwner,
             .mMessage = "no node owns the shard at the moment" };
  }
  return { .mKind = CallerAnswerKind::Undetermined,
           .mMessage = "the owner of the shard does not answer" };
}

void
CallerQueue::AnswerAll()
{
  std::vector<std::pair<CallId, CallerAnswer>> answers;
  for (const auto& [id, call] : mCalls) {
    answers.emplace_back(id, AnswerWithoutOwner(call));
  }
  for (const auto& [id, answer] : answers) {
    Finish(id, answer);
  }
}

CallId
CallerQueue::Add(CallerRequest aRequest, CallerReply aReply, TimePoint aNow)
{
  ++mLastId.mValue;
  mCalls.emplace(mLastId,
                 Call{ .mRequest = std::move(aRequest),
                       .mReply = std::move(aReply),
                       .mArrivedAt = aNow });
  return mLastId;
}

const CallerRequest*
CallerQueue::Find(CallId aId) const
{
  const auto found = mCalls.find(aId);
  return found == mCalls.end() ? nullptr : &found->second.mRequest;
}

SendId
CallerQueue::NextSend()
{
  ++mLastSend.mValue;
  return mLastSend;
}

void
CallerQueue::MarkSent(CallId aId, SendId aSend, const NodeId& aTo)
{
  const auto found = mCalls.find(aId);
  if (found == mCalls.end()) {
    return;
  }
  Call& call = found->second;
  LogDebug("call_sent")
    .With("path", call.mRequest.mPath)
    .With("send", aSend)
    .With("to", aTo);
  mSends.erase(call.mSend);
  mSends.emplace(aSend, aId);
  call.mSend = aSend;
  call.mSent = true;
  call.mEverSent = true;
}

void
CallerQueue::Answer(SendId aSend, const CallerAnswer& aAnswer)
{
  const auto found = mSends.find(aSend);
  if (found == mSends.end()) {
    LogDebug("answer_of_earlier_owner")
      .With("send", aSend)
      .With("kind", static_cast<int>(aAnswer.mKind));
    return;
  }
  Finish(found->second, aAnswer);
}

void
CallerQueue::Finish(CallId aId, const CallerAnswer& aAnswer)
{
  const auto found = mCalls.find(aId);
  if (found == mCalls.end()) {
    return;
  }
  LogAnswer(found->second.mRequest, aAnswer);
  const CallerReply reply = std::move(found->second.mReply);
  mSends.erase(found->second.mSend);
  mCalls.erase(found);
  reply(aAnswer);
}

void
CallerQueue::MarkAllUnsent()
{
  for (auto& [id, call] : mCalls) {
    call.mSent = false;
  }
}

std::vector<CallId>
CallerQueue::Unsent() const
{
  std::vector<CallId> unsent;
  for (const auto& [id, call] : mCalls) {
    if (!call.mSent) {
      unsent.push_back(id);
    }
  }
  return unsent;
}

void
CallerQueue::Expire(TimePoint aNow)
{
  std::vector<std::pair<CallId, CallerAnswer>> answers;
  for (const auto& [id, call] : mCalls) {
    const Duration longest =
      call.mRequest.mVerb == CallerVerb::Submit && !call.mEverSent
        ? kLongestWaitForOwner
        : kLongestWait;
    if (call.mArrivedAt + longest <= aNow) {
      answers.emplace_back(id, AnswerWithoutOwner(call));
    }
  }
  for (const auto& [id, answer] : answers) {
    Finish(id, answer);
  }
}

} // namespace oriolevane::cellnode
