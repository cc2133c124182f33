// Collects what a worker link reports, and waits for it.
#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <vector>

#include "workers/types/workerlinkhooks.h"

namespace oriolevane::workers {

class ExchangeLog
{
public:
  WorkerLinkHooks Hooks()
  {
    return { .mOnReport =
               [this](protocol::WorkerReport aReport) {
                 const std::lock_guard lock(mMutex);
                 mReports.push_back(std::move(aReport));
                 mChanged.notify_all();
               },
             .mOnUnreachable =
               [this](const WorkerId&, const absl::Status& aStatus) {
                 const std::lock_guard lock(mMutex);
                 mFaults.push_back(aStatus);
                 mChanged.notify_all();
               } };
  }

  // False when it did not come to pass within a time that is long on any
  // machine.
  bool WaitFor(const std::function<bool(const ExchangeLog&)>& aCondition)
  {
    constexpr std::chrono::seconds kLong{ 30 };
    std::unique_lock lock(mMutex);
    return mChanged.wait_for(lock, kLong, [&] { return aCondition(*this); });
  }
  bool WaitForReports(std::size_t aCount)
  {
    return WaitFor([aCount](const ExchangeLog& aLog) {
      return aLog.mReports.size() >= aCount;
    });
  }
  bool WaitForFaults(std::size_t aCount)
  {
    return WaitFor([aCount](const ExchangeLog& aLog) {
      return aLog.mFaults.size() >= aCount;
    });
  }

  // To be read after a wait, when nothing is under way.
  std::vector<protocol::WorkerReport> mReports;
  std::vector<absl::Status> mFaults;

private:
  std::mutex mMutex;
  std::condition_variable mChanged;
};

} // namespace oriolevane::workers
