// Settings of the link to the workers.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include "workers/types/workerjsonlimits.h"

namespace oriolevane::workers {

struct WorkerLinkOptions
{
  // Threads that workers are spread over by a hash of their name.
  std::size_t mThreads = 4;
  // Further threads for workers whose last exchange failed, so that hung
  // workers don't hold up healthy ones.
  std::size_t mSuspectThreads = 2;
  std::chrono::milliseconds mConnectTimeout{ 300 };
  // From the first byte sent to the last byte of the answer.
  std::chrono::milliseconds mExchangeTimeout{ 1500 };
  // Longest body of an answer, in bytes.
  std::size_t mMaxBodyBytes = kMaxBodyBytes;
  // Send refuses further workers above this.
  std::size_t mMaxWorkers = 4096;
  // URL that workers post reports to when a task ends; empty for none.
  std::string mReportTo;
};

} // namespace oriolevane::workers
