// Posts reports to the nodes, each at its own time, so that they can be made
// late, doubled or out of order.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "framework/types/timepoint.h"

namespace oriolevane::standins {

// A report that can't be delivered is dropped: the next exchange brings the
// same tasks.
class ReportPusher
{
public:
  explicit ReportPusher(std::size_t aThreads = 2);
  ReportPusher(const ReportPusher&) = delete;
  ReportPusher& operator=(const ReportPusher&) = delete;
  ~ReportPusher();

  // aUrl: http://ip:port/path. Dropped when too many wait.
  void Push(std::string aUrl, std::string aBody, TimePoint aDue);

private:
  struct Job
  {
    std::string mUrl;
    std::string mBody;
  };

  void Run();

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::multimap<TimePoint, Job> mJobs;
  bool mStopping = false;
  std::vector<std::thread> mThreads;
};

} // namespace oriolevane::standins
