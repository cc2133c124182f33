// What waits to be sent to each peer.
#pragma once

#include <atomic>
#include <cstddef>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "framework/types/ids.h"
#include "peers/types/trafficcounters.h"

namespace oriolevane::peers {

// A message as it goes out, and its kind for the counters.
struct QueuedFrame
{
  std::size_t mKind = 0;
  std::string mBody;
};

// Thread-safe. A peer has a queue while a connection with it is up.
class SendQueues
{
public:
  SendQueues(std::size_t aMaxFrames, std::size_t aMaxBytes);

  // False when the peer has no queue or its queue is full.
  bool Push(const NodeId& aTo, QueuedFrame aFrame);
  // Takes frames of up to about aMostBytes.
  std::vector<QueuedFrame> Take(const NodeId& aTo, std::size_t aMostBytes);
  // Peers whose queue became non-empty since the last call.
  std::set<NodeId> TakeFilled();
  void Open(const NodeId& aPeer);
  // Returns how many frames were dropped.
  std::size_t Close(const NodeId& aPeer);
  std::vector<NodeId> OpenPeers() const;
  // True when the thread that takes must be woken: for the first of any number
  // of pushes since ClearWoken.
  bool MarkWoken() { return !mWoken.exchange(true); }
  void ClearWoken() { mWoken.store(false); }

private:
  struct Queue
  {
    std::deque<QueuedFrame> mFrames;
    std::size_t mBytes = 0;
  };

  const std::size_t mMaxFrames;
  const std::size_t mMaxBytes;
  mutable std::mutex mMutex;
  std::map<NodeId, Queue> mQueues;
  std::set<NodeId> mFilled;
  std::atomic<bool> mWoken{ false };
};

} // namespace oriolevane::peers
