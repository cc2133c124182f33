// A scheduler without priorities, to compare with.
#pragma once

#include <cstddef>
#include <list>
#include <queue>
#include <vector>

#include "judge.h"

namespace oriolevane::bench {

// Takes work in order of arrival and puts it on the first worker with room.
class ArrivalOrder
{
public:
  // With aBlocking nothing passes the head of the queue; else the foremost
  // 1,000 waiting tasks are looked at.
  ArrivalOrder(const Trace& aTrace,
               const std::vector<protocol::WorkerInfo>& aWorkers,
               bool aBlocking,
               Judge& aJudge);

  void Run();

private:
  struct Running
  {
    std::chrono::milliseconds mEnd;
    std::size_t mWorker = 0;
    Resources mNeed;
    bool operator<(const Running& aOther) const { return mEnd > aOther.mEnd; }
  };

  // Places all tasks of the item, or none.
  bool Place(const TraceItem& aItem, std::chrono::milliseconds aNow);
  bool ChooseWorkers(const TraceItem& aItem);
  void PassQueue(std::chrono::milliseconds aNow);
  void AdvanceTo(std::chrono::milliseconds aTime);
  void SampleUntil(std::chrono::milliseconds aTime);

  const Trace& mTrace;
  const std::vector<protocol::WorkerInfo>& mWorkers;
  bool mBlocking;
  Judge& mJudge;
  std::vector<Resources> mFree;
  std::priority_queue<Running> mRunning;
  std::list<const TraceItem*> mQueue;
  // Of the item that is being placed.
  std::vector<std::size_t> mChosen;
  std::chrono::milliseconds mSampleAt;
};

} // namespace oriolevane::bench
