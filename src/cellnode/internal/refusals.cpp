#include "cellnode/internal/refusals.h"

#include "cellnode/internal/retryspread.h"

namespace oriolevane::cellnode {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds kRetryAfterStoreUnavailable = 1000ms;
constexpr std::chrono::milliseconds kRetryAfterHandover = 1000ms;
// Callers that are refused because the owner is overloaded return at different
// times: after the first time, and up to the spread later.
constexpr std::chrono::milliseconds kRetryAfterOverload = 1000ms;
constexpr std::chrono::milliseconds kOverloadRetrySpread = 2000ms;
// Room becomes free as open jobs end.
constexpr std::chrono::milliseconds kRetryAfterFullHost = 2000ms;
constexpr std::chrono::milliseconds kFullHostRetrySpread = 4000ms;

} // namespace

CallerAnswer
HandoverAnswer()
{
  return { .mKind = CallerAnswerKind::Refused,
           .mRetryAfter = kRetryAfterHandover,
           .mMessage = "the owner is changing" };
}

CallerAnswer
StoreUnavailableAnswer()
{
  return { .mKind = CallerAnswerKind::Refused,
           .mRetryAfter = kRetryAfterStoreUnavailable,
           .mMessage = "the store does not answer" };
}

CallerAnswer
OverloadedAnswer(const jobs::JobId& aId)
{
  return { .mKind = CallerAnswerKind::Refused,
           .mRetryAfter =
             SpreadRetry(aId, kRetryAfterOverload, kOverloadRetrySpread),
           .mMessage = "the scheduler is overloaded" };
}

CallerAnswer
FullHostAnswer(const jobs::JobId& aId)
{
  return { .mKind = CallerAnswerKind::Refused,
           .mRetryAfter =
             SpreadRetry(aId, kRetryAfterFullHost, kFullHostRetrySpread),
           .mMessage = "the open jobs take all that the host has for jobs" };
}

} // namespace oriolevane::cellnode
