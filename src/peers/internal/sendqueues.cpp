#include "peers/internal/sendqueues.h"

#include <utility>

namespace oriolevane::peers {

SendQueues::SendQueues(std::size_t aMaxFrames, std::size_t aMaxBytes)
  : mMaxFrames(aMaxFrames)
  , mMaxBytes(aMaxBytes)
{
}

bool
SendQueues::Push(const NodeId& aTo, QueuedFrame aFrame)
{
  const std::lock_guard lock(mMutex);
  const auto found = mQueues.find(aTo);
  if (found == mQueues.end()) {
    return false;
  }
  Queue& queue = found->second;
  if (queue.mFrames.size() >= mMaxFrames ||
      queue.mBytes + aFrame.mBody.size() > mMaxBytes) {
    return false;
  }
  if (queue.mFrames.empty()) {
    mFilled.insert(aTo);
  }
  queue.mBytes += aFrame.mBody.size();
  queue.mFrames.push_back(std::move(aFrame));
  return true;
}

std::vector<QueuedFrame>
SendQueues::Take(const NodeId& aTo, std::size_t aMostBytes)
{
  std::vector<QueuedFrame> taken;
  const std::lock_guard lock(mMutex);
  const auto found = mQueues.find(aTo);
  if (found == mQueues.end()) {
    return taken;
  }
  Queue& queue = found->second;
  std::size_t bytes = 0;
  while (!queue.mFrames.empty() && bytes < aMostBytes) {
    bytes += queue.mFrames.front().mBody.size();
    taken.push_back(std::move(queue.mFrames.front()));
    queue.mFrames.pop_front();
  }
  queue.mBytes -= bytes;
  return taken;
}

std::set<NodeId>
SendQueues::TakeFilled()
{
  const std::lock_guard lock(mMutex);
  return std::exchange(mFilled, {});
}

void
SendQueues::Open(const NodeId& aPeer)
{
  const std::lock_guard lock(mMutex);
  mQueues[aPeer] = {};
}

std::size_t
SendQueues::Close(const NodeId& aPeer)
{
  const std::lock_guard lock(mMutex);
  const auto found = mQueues.find(aPeer);
  if (found == mQueues.end()) {
    return 0;
  }
  const std::size_t dropped = found->second.mFrames.size();
  mQueues.erase(found);
  return dropped;
}

std::vector<NodeId>
SendQueues::OpenPeers() const
{
  const std::lock_guard lock(mMutex);
  std::vector<NodeId> peers;
  peers.reserve(mQueues.size());
  for (const auto& [peer, queue] : mQueues) {
    peers.push_back(peer);
  }
  return peers;
}

} // namespace oriolevane::peers
