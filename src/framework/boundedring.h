// A bounded queue between two duties. A full ring refuses instead of growing,
// so that a slow duty pushes back.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "framework/types/timepoint.h"

namespace oriolevane {

// Any number of producers and consumers. Close() wakes all; what is queued can
// still be taken.
template<typename Item>
class BoundedRing
{
public:
  explicit BoundedRing(std::size_t aCapacity)
    : mCapacity(aCapacity)
  {
  }

  // Returns false, and keeps nothing, when the ring is full or closed.
  bool TryPush(Item aItem)
  {
    {
      const std::lock_guard lock(mMutex);
      if (mClosed || mItems.size() >= mCapacity) {
        return false;
      }
      mItems.push_back(std::move(aItem));
    }
    mNotEmpty.notify_one();
    return true;
  }

  // Waits for room. Returns false when the ring is closed.
  bool Push(Item aItem)
  {
    {
      std::unique_lock lock(mMutex);
      mNotFull.wait(lock,
                    [this] { return mClosed || mItems.size() < mCapacity; });
      if (mClosed) {
        return false;
      }
      mItems.push_back(std::move(aItem));
    }
    mNotEmpty.notify_one();
    return true;
  }

  // Takes up to aMost items, waiting at most aTimeout for the first. Empty on
  // timeout or when closed and drained.
  std::vector<Item> PopMany(std::size_t aMost, Duration aTimeout)
  {
    std::vector<Item> taken;
    {
      std::unique_lock lock(mMutex);
      mNotEmpty.wait_for(
        lock, aTimeout, [this] { return mClosed || !mItems.empty(); });
      while (!mItems.empty() && taken.size() < aMost) {
        taken.push_back(std::move(mItems.front()));
        mItems.pop_front();
      }
    }
    mNotFull.notify_all();
    return taken;
  }

  // Takes one item, waiting at most aTimeout.
  std::optional<Item> Pop(Duration aTimeout)
  {
    std::vector<Item> taken = PopMany(1, aTimeout);
    if (taken.empty()) {
      return std::nullopt;
    }
    return std::move(taken.front());
  }

  void Close()
  {
    {
      const std::lock_guard lock(mMutex);
      mClosed = true;
    }
    mNotEmpty.notify_all();
    mNotFull.notify_all();
  }

  bool IsClosed() const
  {
    const std::lock_guard lock(mMutex);
    return mClosed;
  }

  std::size_t Size() const
  {
    const std::lock_guard lock(mMutex);
    return mItems.size();
  }

private:
  const std::size_t mCapacity;
  mutable std::mutex mMutex;
  std::condition_variable mNotEmpty;
  std::condition_variable mNotFull;
  std::deque<Item> mItems;
  bool mClosed = false;
};

} // namespace oriolevane
