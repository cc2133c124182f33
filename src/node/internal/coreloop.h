// The deciding duty: one thread that feeds the node's core from a bounded ring.
#pragma once

#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "framework/boundedqueue.h"
#include "node/nodecore.h"

namespace oriolevane::node {

struct CoreLoopOptions
{
  std::size_t mRingCapacity = 16'384;
  std::chrono::milliseconds mTickEvery{ 50 };
  std::chrono::milliseconds mSummaryEvery{ 250 };
};

class CoreLoop
{
public:
  // aPerform is called on the core's thread for each action and must not block.
  CoreLoop(NodeCoreOptions aCore,
           CoreLoopOptions aOptions,
           std::function<void(NodeAction&)> aPerform);
  CoreLoop(const CoreLoop&) = delete;
  CoreLoop& operator=(const CoreLoop&) = delete;
  ~CoreLoop();

  void Start();
  void Stop();

  // False when the ring is full or the loop has stopped.
  bool TryPost(NodeEvent aEvent);
  // Waits for room: for events that nobody sends again. False when the loop has
  // stopped.
  bool Post(NodeEvent aEvent);

  // As of the last few hundred milliseconds.
  NodeCoreSummary Summary() const;

private:
  void Run();
  void Handle(NodeEvent aEvent);

  CoreLoopOptions mOptions;
  NodeCore mCore;
  std::function<void(NodeAction&)> mPerform;
  BoundedQueue<NodeEvent> mRing;
  mutable std::mutex mSummaryMutex;
  NodeCoreSummary mSummary;
  std::thread mThread;
};

} // namespace oriolevane::node
