// A duty on a thread of its own that runs at an interval, or earlier when asked
// to.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "framework/types/timepoint.h"

namespace oriolevane::node {

class PeriodicDuty
{
public:
  PeriodicDuty(std::chrono::milliseconds aInterval,
               std::function<void()> aBody);
  PeriodicDuty(const PeriodicDuty&) = delete;
  PeriodicDuty& operator=(const PeriodicDuty&) = delete;
  ~PeriodicDuty();

  void Start();
  void Stop();
  // Runs as soon as it can.
  void RunSoon();

private:
  void Run();

  std::chrono::milliseconds mInterval;
  std::function<void()> mBody;
  std::mutex mMutex;
  std::condition_variable mWake;
  bool mStopping = false;
  bool mSoon = true;
  std::thread mThread;
};

} // namespace oriolevane::node
