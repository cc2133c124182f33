// Many workers in one process, with their clock, their faults and the reports
// that they post when tasks end.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "standins/worker/reportpusher.h"
#include "standins/worker/taskhistory.h"
#include "standins/worker/workerfaults.h"
#include "standins/worker/workermodel.h"
#include "workers/workerjson.h"

namespace oriolevane::standins {

struct WorkerFleetOptions
{
  std::size_t mWorkers = 1;
  // Workers are named with this and a number from 0.
  std::string mPrefix = "w";
  Resources mCapacity{ .mMilliCores = 64000,
                       .mMemoryMiB = 262144,
                       .mAccelerators = 0,
                       .mSlots = 8 };
  std::uint64_t mSeed = 1;
};

// Thread-safe. A thread of its own moves the workers on in time.
class WorkerFleet
{
public:
  explicit WorkerFleet(WorkerFleetOptions aOptions);
  WorkerFleet(const WorkerFleet&) = delete;
  WorkerFleet& operator=(const WorkerFleet&) = delete;
  ~WorkerFleet();

  // Empty when there is no such worker, or when it fell silent; then returns
  // only when it speaks again or the fleet stops.
  std::optional<protocol::WorkerReport> Exchange(
    const WorkerId& aWorker,
    const workers::ExchangeRequest& aRequest);

  // "*" names all workers. False when there is no such worker.
  bool ChangeFaults(const std::string& aWorker,
                    const std::function<void(WorkerFaults&)>& aChange);
  bool Restart(const std::string& aWorker);
  // Releases those that wait in Exchange, for good.
  void Stop();

  const TaskHistory& History() const { return mHistory; }
  // JSON: one object a worker with its counts and faults.
  std::string StateJson() const;

private:
  struct Worker
  {
    WorkerModel mModel;
    WorkerFaults mFaults;
    std::string mReportTo;
  };

  Worker* Find(const WorkerId& aWorker);
  bool ForEach(const std::string& aWorker,
               const std::function<void(Worker&)>& aVisit);
  void Run();
  void PushReport(Worker& aWorker, TimePoint aNow);
  Incarnation FreshIncarnation();

  TaskHistory mHistory;
  ReportPusher mPusher;
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  std::mt19937_64 mRandom;
  std::vector<Worker> mWorkers;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace oriolevane::standins
