// The platform's list of workers, which shows changes only after a lag.
#pragma once

#include <chrono>
#include <deque>
#include <mutex>
#include <vector>

#include "framework/types/timepoint.h"
#include "store/platformhooks.h"

namespace oriolevane::standins {

// Thread-safe.
class HostList
{
public:
  explicit HostList(std::vector<store::HostEntry> aHosts);

  // The list as it was before the lag.
  std::vector<store::HostEntry> Visible(TimePoint aNow) const;
  void SetLag(std::chrono::milliseconds aLag);
  // Adds the worker or replaces the one of the same id.
  void Put(const store::HostEntry& aHost, TimePoint aNow);
  void Remove(const WorkerId& aWorker, TimePoint aNow);
  // False when there is no such worker.
  bool MarkLeaving(const WorkerId& aWorker, bool aLeaving, TimePoint aNow);

private:
  struct State
  {
    TimePoint mSince;
    std::vector<store::HostEntry> mHosts;
  };

  void Push(std::vector<store::HostEntry> aHosts, TimePoint aNow);

  mutable std::mutex mMutex;
  std::chrono::milliseconds mLag{ 0 };
  std::deque<State> mHistory;
};

} // namespace oriolevane::standins
