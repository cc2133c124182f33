#include "cellnode/adviceadmission.h"

#include "cellnode/internal/retryspread.h"

namespace oriolevane::cellnode {

namespace {

using namespace std::chrono_literals;

// Jobs are refused while a query would wait for longer.
constexpr std::chrono::milliseconds kMaxQueryWait = 8000ms;
// Refused callers return at different times, up to the spread after the backlog
// is expected to be short enough.
constexpr std::chrono::milliseconds kRetrySpread = 2000ms;

} // namespace

std::optional<CallerAnswer>
RefusalForAdvice(const jobs::QueuePolicy& aQueue,
                 const jobs::JobId& aId,
                 Duration aQueryWait)
{
  if (!aQueue.mAdvice.has_value() || aQueryWait <= kMaxQueryWait) {
    return std::nullopt;
  }
  const auto excess = std::chrono::duration_cast<std::chrono::milliseconds>(
    aQueryWait - kMaxQueryWait);
  return CallerAnswer{ .mKind = CallerAnswerKind::Refused,
                       .mRetryAfter = SpreadRetry(aId, excess, kRetrySpread),
                       .mMessage = "the policy service is overloaded" };
}

} // namespace oriolevane::cellnode
