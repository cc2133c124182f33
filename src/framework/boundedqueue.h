// A bounded blocking queue between threads. A full queue refuses or blocks its
// producers instead of growing, so that a slow consumer exerts back-pressure.
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

// Supports any number of producers and consumers. Close() wakes all waiting
// threads; items that are already queued can still be taken.
template<typename Item>
class BoundedQueue
{
public:
  explicit BoundedQueue(std::size_t aCapacity)
    : mCapacity(aCapacity)
  {
  }

  // Returns false and drops the item when the queue is full or closed.
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

  // Blocks while the queue is full. Returns false and drops the item when the
  // queue is closed.
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

  // Removes and returns up to aMaxItems items. Waits at most aTimeout for the
  // first one. The result is empty on timeout, or when the queue is closed and
  // drained.
  std::vector<Item> PopMany(std::size_t aMaxItems, Duration aTimeout)
  {
    std::vector<Item> taken;
    {
      std::unique_lock lock(mMutex);
      mNotEmpty.wait_for(
        lock, aTimeout, [this] { return mClosed || !mItems.empty(); });
      while (!mItems.empty() && taken.size() < aMaxItems) {
        taken.push_back(std::move(mItems.front()));
        mItems.pop_front();
      }
    }
    mNotFull.notify_all();
    return taken;
  }

  // Removes and returns one item. Waits at most aTimeout for it. The result is
  // empty under the same conditions as in PopMany().
  std::optional<Item> Pop(Duration aTimeout)
  {
    std::vector<Item> taken = PopMany(1, aTimeout);
    if (taken.empty()) {
      return std::nullopt;
    }
    return std::move(taken.front());
  }

  // Makes later pushes fail and wakes all waiting threads.
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
