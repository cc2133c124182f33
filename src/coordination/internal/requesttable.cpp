#include "coordination/internal/requesttable.h"

#include <algorithm>

namespace oriolevane::coordination::internal {

LiveRequest*
RequestTable::Find(const RequestId& aId) const
{
  const auto found = mRequests.find(aId);
  return found == mRequests.end() ? nullptr : found->second.get();
}

LiveRequest&
RequestTable::Add(protocol::RequestSpec aSpec, TimePoint aSubmitted)
{
  const RequestId id = aSpec.mId;
  auto request = std::make_unique<LiveRequest>();
  request->mSlots.resize(aSpec.mTaskCount);
  request->mArrivalNumber = ++mLastArrivalNumber;
  request->mSubmitted = aSubmitted;
  if (aSpec.mDeadline) {
    request->mDeadlineAt = aSubmitted + *aSpec.mDeadline;
  }
  request->mSpec = std::move(aSpec);
  return *mRequests.emplace(id, std::move(request)).first->second;
}

void
RequestTable::Remove(const RequestId& aId)
{
  const auto found = mRequests.find(aId);
  if (found == mRequests.end()) {
    return;
  }
  LiveRequest* request = found->second.get();
  mDue.erase({ request->mDue, request->mArrivalNumber });
  mRequests.erase(found);
}

void
RequestTable::Reschedule(LiveRequest& aRequest)
{
  const TimePoint due = std::min(
    { aRequest.mResendAt, aRequest.mDispatchAt, aRequest.mDeadlineAt });
  if (due == aRequest.mDue) {
    return;
  }
  if (aRequest.mDue != TimePoint::max()) {
    mDue.erase({ aRequest.mDue, aRequest.mArrivalNumber });
  }
  aRequest.mDue = due;
  if (due != TimePoint::max()) {
    mDue.emplace(std::pair(due, aRequest.mArrivalNumber), &aRequest);
  }
}

std::vector<LiveRequest*>
RequestTable::TakeDue(TimePoint aNow, std::size_t aMax)
{
  std::vector<LiveRequest*> due;
  while (!mDue.empty() && due.size() < aMax &&
         mDue.begin()->first.first <= aNow) {
    LiveRequest* request = mDue.begin()->second;
    mDue.erase(mDue.begin());
    request->mDue = TimePoint::max();
    due.push_back(request);
  }
  return due;
}

std::vector<const LiveRequest*>
RequestTable::Sorted() const
{
  std::vector<const LiveRequest*> sorted;
  sorted.reserve(mRequests.size());
  for (const auto& [id, request] : mRequests) {
    sorted.push_back(request.get());
  }
  std::sort(sorted.begin(),
            sorted.end(),
            [](const LiveRequest* aLeft, const LiveRequest* aRight) {
              return aLeft->mSpec.mId < aRight->mSpec.mId;
            });
  return sorted;
}

} // namespace oriolevane::coordination::internal
