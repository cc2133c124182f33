// The platform's list of workers, which shows changes only after a lag.
#pragma once

#include <chrono>
#include <deque>
#include <mutex>
#include <vector>

#include "framework/types/timepoint.h"
#include "platform/platformhooks.h"

namespace oriolevane::standins {

// Thread-safe.
class HostList
{
public:
  explicit HostList(std::vector<platform::HostEntry> aHosts);

  // The list as it was before the lag.
  std::vector<platform::HostEntry> Visible(TimePoint aNow) const;
  void SetLag(std::chrono::milliseconds aLag);
  // Adds the worker or replaces the one of the same id.
  void Put(const platform::HostEntry& aHost, TimePoint aNow);
  void Remove(const WorkerId& aWorker, TimePoint aNow);
  // False when there is no such worker.
  bool MarkLeaving(const WorkerId& aWorker, bool aLeaving, TimePoint aNow);

private:
  struct State
  {
    TimePoint mSince;
    std::vector<platform::HostEntry> mHosts;
  };

  void Push(std::vector<platform::HostEntry> aHosts, TimePoint aNow);

  mutable std::mutex mMutex;
  std::chrono::milliseconds mLag{ 0 };
  std::deque<State> mHistory;
};

} // namespace oriolevane::standins
