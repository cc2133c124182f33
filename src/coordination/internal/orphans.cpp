#include "coordination/internal/orphans.h"

#include <utility>

namespace oriolevane::coordination::internal {

bool
Orphans::Add(const protocol::TaskKey& aTask, ShardId aShard, Epoch aEpoch)
{
  const auto [entry, added] =
    mAttempts.insert_or_assign(aTask, Place{ aShard, aEpoch });
  if (added) {
    mDue.push_front({ TimePoint::min(), aTask });
  }
  return added;
}

void
Orphans::End(const protocol::TaskKey& aTask, bool aNeverStarted, TimePoint aNow)
{
  const bool known = mAttempts.erase(aTask) > 0;
  if (known && !aNeverStarted && mEnded.insert(aTask.mRequest).second) {
    mEndedByAge.push_back({ aNow, aTask.mRequest });
  }
}

void
Orphans::ForgetEnded(TimePoint aBefore)
{
  while (!mEndedByAge.empty() && mEndedByAge.front().mAt < aBefore) {
    mEnded.erase(mEndedByAge.front().mId);
    mEndedByAge.pop_front();
  }
}

bool
Orphans::Has(const RequestId& aId) const
{
  const auto first = mAttempts.lower_bound({ .mRequest = aId });
  return first != mAttempts.end() && first->first.mRequest == aId;
}

void
Orphans::Sweep(ShardId aShard, Epoch aEpoch, TimePoint aNow)
{
  std::vector<protocol::TaskKey> over;
  for (const auto& [task, place] : mAttempts) {
    if (place.mShard == aShard && place.mEpoch < aEpoch) {
      over.push_back(task);
    }
  }
  for (const protocol::TaskKey& task : over) {
    End(task, false, aNow);
  }
}

std::vector<OrphanAttempt>
Orphans::TakeDue(TimePoint aNow, Duration aAgain, std::size_t aMost)
{
  std::vector<OrphanAttempt> due;
  while (!mDue.empty() && mDue.front().mAt <= aNow && due.size() < aMost) {
    Due next = std::move(mDue.front());
    mDue.pop_front();
    const auto found = mAttempts.find(next.mTask);
    if (found == mAttempts.end()) {
      continue;
    }
    due.push_back({ .mTask = next.mTask, .mShard = found->second.mShard });
    mDue.push_back({ aNow + aAgain, std::move(next.mTask) });
  }
  return due;
}

} // namespace oriolevane::coordination::internal
