#include "node/internal/periodicduty.h"

#include <utility>

namespace oriolevane::node {

PeriodicDuty::PeriodicDuty(std::chrono::milliseconds aInterval,
                           std::function<void()> aBody)
  : mInterval(aInterval)
  , mBody(std::move(aBody))
{
}

PeriodicDuty::~PeriodicDuty()
{
  Stop();
}

void
PeriodicDuty::Start()
{
  mThread = std::thread([this] { Run(); });
}

void
PeriodicDuty::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mWake.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
PeriodicDuty::RunSoon()
{
  {
    const std::lock_guard lock(mMutex);
    mSoon = true;
  }
  mWake.notify_all();
}

void
PeriodicDuty::Run()
{
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    mSoon = false;
    lock.unlock();
    mBody();
    lock.lock();
    mWake.wait_for(lock, mInterval, [this] { return mStopping || mSoon; });
  }
}

} // namespace oriolevane::node
