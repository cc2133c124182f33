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
    Answer(id, answer);
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

void
CallerQueue::MarkSent(CallId aId, const NodeId& aTo)
{
  const auto found = mCalls.find(aId);
  if (found != mCalls.end()) {
    found->second.mSent = true;
    found->second.mSentTo = aTo;
    found->second.mEverSent = true;
  }
}

void
CallerQueue::AnswerFrom(const NodeId& aFrom,
                        CallId aId,
                        const CallerAnswer& aAnswer)
{
  const auto found = mCalls.find(aId);
  if (found == mCalls.end()) {
    return;
  }
  if (found->second.mSentTo != aFrom) {
    LogInfo("answer_of_earlier_owner")
      .With("path", found->second.mRequest.mPath)
      .With("from", aFrom)
      .With("sent_to", found->second.mSentTo)
      .With("kind", static_cast<int>(aAnswer.mKind));
    return;
  }
  Answer(aId, aAnswer);
}

void
CallerQueue::Answer(CallId aId, const CallerAnswer& aAnswer)
{
  const auto found = mCalls.find(aId);
  if (found == mCalls.end()) {
    return;
  }
  LogAnswer(found->second.mRequest, aAnswer);
  const CallerReply reply = std::move(found->second.mReply);
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
    Answer(id, answer);
  }
}

} // namespace oriolevane::cellnode
