// Ends blocking socket calls at a deadline, also when the other end keeps
// sending a byte now and then.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <thread>

#include <Poco/Net/StreamSocket.h>

#include "framework/types/timepoint.h"

namespace oriolevane::workers {

// One thread that shuts sockets down when their deadline passes; a reader then
// sees the end of the stream.
class DeadlineGuard
{
public:
  DeadlineGuard();
  DeadlineGuard(const DeadlineGuard&) = delete;
  DeadlineGuard& operator=(const DeadlineGuard&) = delete;
  ~DeadlineGuard();

  // Treats every deadline, also of later watches, as passed.
  void Expire();

  // Disarms when it goes out of scope.
  class Watch
  {
  public:
    Watch(DeadlineGuard& aGuard,
          const Poco::Net::StreamSocket& aSocket,
          TimePoint aDeadline);
    Watch(const Watch&) = delete;
    Watch& operator=(const Watch&) = delete;
    ~Watch();

    // True when the deadline passed and the socket was shut down.
    bool Fired() const;

  private:
    DeadlineGuard& mGuard;
    std::uint64_t mToken;
  };

private:
  struct Armed
  {
    Poco::Net::StreamSocket mSocket;
    TimePoint mDeadline;
    bool mFired = false;
  };

  void Run();
  void FireDue(TimePoint aNow);

  mutable std::mutex mMutex;
  std::condition_variable mStop;
  std::map<std::uint64_t, Armed> mArmed;
  std::uint64_t mNextToken = 0;
  bool mExpired = false;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace oriolevane::workers
