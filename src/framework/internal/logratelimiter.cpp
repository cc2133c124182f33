#include "framework/internal/logratelimiter.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace oriolevane {

std::optional<std::uint64_t>
LogRateLimiter::Admit(std::string_view aEvent, TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  auto found = mBuckets.find(aEvent);
  if (found == mBuckets.end()) {
    found =
      mBuckets
        .emplace(aEvent,
                 Bucket{ .mTokens = mOptions.mBurst, .mRefilledAt = aNow })
        .first;
  }
  Bucket& bucket = found->second;
  const std::chrono::duration<double> passed = aNow - bucket.mRefilledAt;
  bucket.mTokens =
    std::min(bucket.mTokens + passed.count() * mOptions.mLinesPerSecond,
             mOptions.mBurst);
  bucket.mRefilledAt = aNow;
  if (bucket.mTokens < 1) {
    ++bucket.mDropped;
    ++mDropped;
    return std::nullopt;
  }
  bucket.mTokens -= 1;
  return std::exchange(bucket.mDropped, 0);
}

void
LogRateLimiter::CountDropped()
{
  const std::lock_guard lock(mMutex);
  ++mDropped;
}

std::uint64_t
LogRateLimiter::Dropped() const
{
  const std::lock_guard lock(mMutex);
  return mDropped;
}

} // namespace oriolevane
