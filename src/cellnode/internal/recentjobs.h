// Remembers the payloads that an owner has sent to a relay. Owner and relay
// apply the same limit in the same order, so that the owner knows what the
// relay has.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <utility>

#include "jobs/types/taskkey.h"

namespace oriolevane::cellnode {

// A map from jobs to values that keeps the entries added last.
template<typename Value>
class RecentJobs
{
public:
  bool Contains(const jobs::JobId& aJob) const
  {
    return mValues.contains(aJob);
  }
  // Returns null when the job is not there.
  const Value* Find(const jobs::JobId& aJob) const
  {
    const auto found = mValues.find(aJob);
    return found == mValues.end() ? nullptr : &found->second;
  }
  // Adds a job, or does nothing when it is there.
  void Add(const jobs::JobId& aJob, Value aValue)
  {
    if (!mValues.emplace(aJob, std::move(aValue)).second) {
      return;
    }
    mOrder.push_back(aJob);
    if (mOrder.size() > kMaxJobs) {
      mValues.erase(mOrder.front());
      mOrder.pop_front();
    }
  }

private:
  static constexpr std::size_t kMaxJobs = 1024;

  std::map<jobs::JobId, Value> mValues;
  // Oldest first.
  std::deque<jobs::JobId> mOrder;
};

} // namespace oriolevane::cellnode
