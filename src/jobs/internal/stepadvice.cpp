#include "jobs/internal/stepadvice.h"

#include <algorithm>
#include <functional>

namespace oriolevane::jobs {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds kFirstRetryPause = 100ms;
// Long-running tasks should be back soon after the policy service is.
constexpr std::chrono::milliseconds kMaxRetryPause = 1000ms;

} // namespace

void
StepAdvice::NoteUnanswered(TimePoint aNow)
{
  std::chrono::milliseconds pause = kFirstRetryPause;
  for (int earlier = 0; earlier < mUnanswered && pause < kMaxRetryPause;
       ++earlier) {
    pause *= 2;
  }
  ++mUnanswered;
  mRetryAt = aNow + std::min(pause, kMaxRetryPause);
}

const Approval*
StepAdvice::ApprovalOf(const Worker* aWorker) const
{
  const auto found = std::find_if(
    mApproved.begin(), mApproved.end(), [aWorker](const Approval& aApproval) {
      return aApproval.mWorker == aWorker;
    });
  return found == mApproved.end() ? nullptr : &*found;
}

TimePoint
StepAdvice::TicketsUsableUntil(std::size_t aWorkers) const
{
  if (mApproved.empty() || aWorkers == 0) {
    return {};
  }
  std::vector<TimePoint> ends;
  ends.reserve(mApproved.size());
  for (const Approval& approval : mApproved) {
    ends.push_back(approval.mUsableUntil);
  }
  const auto last =
    static_cast<std::ptrdiff_t>(std::min(aWorkers, ends.size()) - 1);
  std::nth_element(
    ends.begin(), ends.begin() + last, ends.end(), std::greater<>());
  return ends[last];
}

void
StepAdvice::RemoveWorker(const Worker* aWorker)
{
  mQueried.erase(aWorker);
  std::erase_if(mApproved, [aWorker](const Approval& aApproval) {
    return aApproval.mWorker == aWorker;
  });
}

void
StepAdvice::InvalidateTicket(const Worker* aWorker)
{
  for (Approval& approval : mApproved) {
    if (approval.mWorker == aWorker) {
      approval.mUsableUntil = {};
    }
  }
}

} // namespace oriolevane::jobs
