#include "framework/internal/logbudget.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace oriolevane {

std::optional<std::uint64_t>
LogBudget::Admit(std::string_view aKind, TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  auto found = mBuckets.find(aKind);
  if (found == mBuckets.end()) {
    found =
      mBuckets
        .emplace(aKind, Bucket{ .mTokens = mOptions.mBurst, .mFilledAt = aNow })
        .first;
  }
  Bucket& bucket = found->second;
  const std::chrono::duration<double> passed = aNow - bucket.mFilledAt;
  bucket.mTokens =
    std::min(bucket.mTokens + passed.count() * mOptions.mLinesPerSecond,
             mOptions.mBurst);
  bucket.mFilledAt = aNow;
  if (bucket.mTokens < 1) {
    ++bucket.mDropped;
    ++mDropped;
    return std::nullopt;
  }
  bucket.mTokens -= 1;
  return std::exchange(bucket.mDropped, 0);
}

void
LogBudget::NoteDropped()
{
  const std::lock_guard lock(mMutex);
  ++mDropped;
}

std::uint64_t
LogBudget::Dropped() const
{
  const std::lock_guard lock(mMutex);
  return mDropped;
}

} // namespace oriolevane
