// Baseline scheduler without priorities.
#pragma once

#include <cstddef>
#include <list>
#include <queue>
#include <vector>

#include "tracemetrics.h"

namespace oriolevane::bench {

// Schedules requests in the order of their arrival, each task on the first
// worker that has enough free resources.
class ArrivalOrderScheduler
{
public:
  // With aBlocking no request passes the head of the queue (first in, first
  // out). Otherwise the first 1,000 waiting requests are tried when a task
  // ends.
  ArrivalOrderScheduler(const Trace& aTrace,
                        const std::vector<protocol::WorkerInfo>& aWorkers,
                        bool aBlocking,
                        TraceMetrics& aMetrics);

  // Runs the whole trace and records the starts and the usage in aMetrics.
  void Run();

private:
  struct RunningTask
  {
    std::chrono::milliseconds mEnd;
    std::size_t mWorker = 0;
    Resources mNeed;
    bool operator<(const RunningTask& aOther) const
    {
      return mEnd > aOther.mEnd;
    }
  };

  // Places all tasks of the item or none; returns whether they were placed.
  bool PlaceItem(const TraceItem& aItem, std::chrono::milliseconds aNow);
  // Fills mChosenWorkers and takes the resources from mFree; restores them and
  // returns false if a task does not fit.
  bool ChooseWorkers(const TraceItem& aItem);
  void PlaceQueued(std::chrono::milliseconds aNow);
  void AdvanceTo(std::chrono::milliseconds aTime);
  void SampleUntil(std::chrono::milliseconds aTime);

  const Trace& mTrace;
  const std::vector<protocol::WorkerInfo>& mWorkers;
  bool mBlocking;
  TraceMetrics& mMetrics;
  std::vector<Resources> mFree;
  std::priority_queue<RunningTask> mRunning;
  std::list<const TraceItem*> mQueue;
  // Workers of the item that is being placed, in the order of its tasks.
  std::vector<std::size_t> mChosenWorkers;
  std::chrono::milliseconds mSampleAt;
};

} // namespace oriolevane::bench
