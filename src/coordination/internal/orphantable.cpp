#include "coordination/internal/orphantable.h"

#include <utility>

namespace oriolevane::coordination::internal {

bool
OrphanTable::Add(const protocol::TaskKey& aTask, ShardId aShard, Epoch aEpoch)
{
  const auto [entry, added] =
    mAttempts.insert_or_assign(aTask, Location{ aShard, aEpoch });
  if (added) {
    mDue.push_front({ TimePoint::min(), aTask });
  }
  return added;
}

void
OrphanTable::End(const protocol::TaskKey& aTask,
                 bool aNeverStarted,
                 TimePoint aNow)
{
  const bool known = mAttempts.erase(aTask) > 0;
  if (known && !aNeverStarted && mEndedRequests.insert(aTask.mRequest).second) {
    mEndedRequestsByAge.push_back({ aNow, aTask.mRequest });
  }
}

void
OrphanTable::ForgetEnded(TimePoint aBefore)
{
  while (!mEndedRequestsByAge.empty() &&
         mEndedRequestsByAge.front().mAt < aBefore) {
    mEndedRequests.erase(mEndedRequestsByAge.front().mId);
    mEndedRequestsByAge.pop_front();
  }
}

bool
OrphanTable::Has(const RequestId& aId) const
{
  const auto first = mAttempts.lower_bound({ .mRequest = aId });
  return first != mAttempts.end() && first->first.mRequest == aId;
}

void
OrphanTable::EndUnlisted(ShardId aShard, Epoch aEpoch, TimePoint aNow)
{
  std::vector<protocol::TaskKey> ended;
  for (const auto& [task, location] : mAttempts) {
    if (location.mShard == aShard && location.mEpoch < aEpoch) {
      ended.push_back(task);
    }
  }
  for (const protocol::TaskKey& task : ended) {
    End(task, false, aNow);
  }
}

std::vector<OrphanAttempt>
OrphanTable::TakeDue(TimePoint aNow, Duration aResendInterval, std::size_t aMax)
{
  std::vector<OrphanAttempt> due;
  while (!mDue.empty() && mDue.front().mAt <= aNow && due.size() < aMax) {
    Due next = std::move(mDue.front());
    mDue.pop_front();
    const auto found = mAttempts.find(next.mTask);
    if (found == mAttempts.end()) {
      continue;
    }
    due.push_back({ .mTask = next.mTask, .mShard = found->second.mShard });
    mDue.push_back({ aNow + aResendInterval, std::move(next.mTask) });
  }
  return due;
}

} // namespace oriolevane::coordination::internal
