#include "cellnode/internal/pendingcalls.h"

#include <utility>

#include "framework/log.h"

namespace oriolevane::cellnode {

namespace {

using namespace std::chrono_literals;

// A submission that was not sent to any owner is refused after this time.
constexpr std::chrono::milliseconds kMaxWaitForOwner = 300ms;
constexpr std::chrono::milliseconds kRetryAfterWithoutOwner = 1000ms;
// All other requests are answered by this time, because callers give up soon
// after, at 3 s.
constexpr std::chrono::milliseconds kAnswerDeadline = 2500ms;

// Refusals, malformed requests and unknown outcomes are logged at info level
// because they explain what a caller saw. All other answers are routine.
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

// A request that was not sent to an owner, or that only reads, has not been
// carried out.
CallerAnswer
PendingCalls::AnswerWithoutOwner(const Call& aCall)
{
  if (!aCall.mEverSent || aCall.mRequest.mVerb == CallerVerb::Query) {
    return { .mKind = CallerAnswerKind::Refused,
             .mRetryAfter = kRetryAfterWithoutOwner,
             .mMessage = "no node owns the shard at the moment" };
  }
  return { .mKind = CallerAnswerKind::Undetermined,
           .mMessage = "the owner of the shard does not answer" };
}

void
PendingCalls::AnswerAll()
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
PendingCalls::Add(CallerRequest aRequest, AnswerCallback aReply, TimePoint aNow)
{
  ++mLastId.mValue;
  mCalls.emplace(mLastId,
                 Call{ .mRequest = std::move(aRequest),
                       .mReply = std::move(aReply),
                       .mArrivedAt = aNow });
  return mLastId;
}

const CallerRequest*
PendingCalls::Find(CallId aId) const
{
  const auto found = mCalls.find(aId);
  return found == mCalls.end() ? nullptr : &found->second.mRequest;
}

void
PendingCalls::MarkSent(CallId aId, SendId aSend, const NodeId& aTo)
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
PendingCalls::Answer(SendId aSend, const CallerAnswer& aAnswer)
{
  const auto found = mSends.find(aSend);
  if (found == mSends.end()) {
    LogDebug("superseded_answer_ignored")
      .With("send", aSend)
      .With("kind", static_cast<int>(aAnswer.mKind));
    return;
  }
  Finish(found->second, aAnswer);
}

void
PendingCalls::Finish(CallId aId, const CallerAnswer& aAnswer)
{
  const auto found = mCalls.find(aId);
  if (found == mCalls.end()) {
    return;
  }
  LogAnswer(found->second.mRequest, aAnswer);
  const AnswerCallback reply = std::move(found->second.mReply);
  mSends.erase(found->second.mSend);
  mCalls.erase(found);
  reply(aAnswer);
}

void
PendingCalls::MarkAllUnsent()
{
  for (auto& [id, call] : mCalls) {
    call.mSent = false;
  }
}

std::vector<CallId>
PendingCalls::Unsent() const
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
PendingCalls::Expire(TimePoint aNow)
{
  std::vector<std::pair<CallId, CallerAnswer>> answers;
  for (const auto& [id, call] : mCalls) {
    const Duration longest =
      call.mRequest.mVerb == CallerVerb::Submit && !call.mEverSent
        ? kMaxWaitForOwner
        : kAnswerDeadline;
    if (call.mArrivedAt + longest <= aNow) {
      answers.emplace_back(id, AnswerWithoutOwner(call));
    }
  }
  for (const auto& [id, answer] : answers) {
    Finish(id, answer);
  }
}

} // namespace oriolevane::cellnode
