#include "workers/internal/deadlineguard.h"

#include <Poco/Exception.h>

#include "framework/log.h"

namespace oriolevane::workers {

namespace {

// Deadlines are looked at this often, so that arming needs no wake-up.
constexpr std::chrono::milliseconds kTick{ 100 };

} // namespace

DeadlineGuard::DeadlineGuard()
  : mThread([this] { Run(); })
{
}

DeadlineGuard::~DeadlineGuard()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mStop.notify_one();
  mThread.join();
}

void
DeadlineGuard::Expire()
{
  const std::lock_guard lock(mMutex);
  mExpired = true;
  FireDue(std::chrono::steady_clock::now());
}

DeadlineGuard::Watch::Watch(DeadlineGuard& aGuard,
                            const Poco::Net::StreamSocket& aSocket,
                            TimePoint aDeadline)
  : mGuard(aGuard)
{
  const std::lock_guard lock(mGuard.mMutex);
  mToken = mGuard.mNextToken++;
  mGuard.mArmed.emplace(mToken,
                        Armed{ .mSocket = aSocket, .mDeadline = aDeadline });
  if (mGuard.mExpired) {
    mGuard.FireDue(aDeadline);
  }
}

DeadlineGuard::Watch::~Watch()
{
  const std::lock_guard lock(mGuard.mMutex);
  mGuard.mArmed.erase(mToken);
}

bool
DeadlineGuard::Watch::Fired() const
{
  const std::lock_guard lock(mGuard.mMutex);
  return mGuard.mArmed.at(mToken).mFired;
}

void
DeadlineGuard::FireDue(TimePoint aNow)
{
  for (auto& [token, armed] : mArmed) {
    if (armed.mFired || (!mExpired && armed.mDeadline > aNow)) {
      continue;
    }
    armed.mFired = true;
    try {
      armed.mSocket.shutdown();
    } catch (const Poco::Exception& fault) {
      LogDebug("shutdown_failed").With("reason", fault.displayText());
    }
  }
}

void
DeadlineGuard::Run()
{
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    FireDue(std::chrono::steady_clock::now());
    mStop.wait_for(lock, kTick, [this] { return mStopping; });
  }
}

} // namespace oriolevane::workers
