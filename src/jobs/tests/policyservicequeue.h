// Simulates the hosts that query the policy service, for load trials.
#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <vector>

#include "jobs/tests/fakecell.h"

namespace oriolevane::jobs {

// Simulates the hosts that query the policy service. Each host has one query in
// progress at a time; waiting queries are sent shortest first. Long queries go
// only to a part of the hosts, so that they cannot block all short ones.
class PolicyServiceQueue
{
public:
  PolicyServiceQueue(FakeCell& aCell, int aQueryHosts)
    : mCell(aCell)
    , mBusyHosts(aQueryHosts, false)
  {
  }

  void Add(const AdviceQuery& aQuery)
  {
    mWaitingQueries.emplace(aQuery.mServiceTime, aQuery);
    AssignQueries();
  }

private:
  static constexpr std::chrono::microseconds kLongQueryCost =
    std::chrono::milliseconds(200);

  void AssignQueries()
  {
    for (auto entry = mWaitingQueries.begin();
         entry != mWaitingQueries.end();) {
      const std::size_t host = FindFreeHost(entry->first >= kLongQueryCost);
      if (host == mBusyHosts.size()) {
        ++entry;
        continue;
      }
      SendQuery(host, entry->second);
      entry = mWaitingQueries.erase(entry);
    }
  }

  std::size_t FindFreeHost(bool aIsLong) const
  {
    const std::size_t first = aIsLong ? mBusyHosts.size() / 4 : 0;
    return std::find(mBusyHosts.begin() + static_cast<std::ptrdiff_t>(first),
                     mBusyHosts.end(),
                     false) -
           mBusyHosts.begin();
  }

  void SendQuery(std::size_t aHost, const AdviceQuery& aQuery)
  {
    mBusyHosts[aHost] = true;
    mCell.ScheduleAfter(std::chrono::ceil<Millis>(aQuery.mServiceTime) +
                          Millis(2),
                        [this, aHost, aQuery] {
                          mBusyHosts[aHost] = false;
                          mCell.AnswerQuery(aQuery);
                          AssignQueries();
                        });
  }

  FakeCell& mCell;
  std::vector<bool> mBusyHosts;
  std::multimap<std::chrono::microseconds, AdviceQuery> mWaitingQueries;
};

} // namespace oriolevane::jobs
