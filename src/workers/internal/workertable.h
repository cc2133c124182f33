// Which worker's command is exchanged next, and by which lane of threads.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "framework/types/ids.h"
#include "protocol/types/workermessages.h"
#include "workers/internal/exchangesession.h"
#include "workers/types/workeraddress.h"

namespace oriolevane::workers {

// One exchange that a lane has taken. The session is null when the worker has
// none yet or has moved to another address.
struct TakenExchange
{
  protocol::WorkerCommand mCommand;
  WorkerAddress mAddress;
  std::unique_ptr<ExchangeSession> mSession;
};

// Thread-safe. Healthy workers are spread over the first lanes by a hash of
// their name; suspect ones, whose last exchange failed, share one more lane.
// At most one exchange with a worker is under way at any time.
class WorkerTable
{
public:
  WorkerTable(std::size_t aHealthyLanes, std::size_t aMaxWorkers);

  std::size_t SuspectLane() const { return mLanes.size() - 1; }

  // False when the worker is new and there are too many.
  bool Put(WorkerAddress aAddress, protocol::WorkerCommand aCommand);
  // Waits for an exchange of the lane. Empty once closed.
  std::optional<TakenExchange> Take(std::size_t aLane);
  // Gives back the session, or null when it is of no use any more.
  void Finish(const WorkerId& aWorker,
              std::unique_ptr<ExchangeSession> aSession,
              bool aSucceeded);
  void Forget(const WorkerId& aWorker);
  void Close();
  std::size_t Size() const;

private:
  struct Entry
  {
    WorkerAddress mAddress;
    std::optional<protocol::WorkerCommand> mPending;
    std::unique_ptr<ExchangeSession> mSession;
    bool mBusy = false;
    bool mSuspect = false;
    bool mForgotten = false;
  };

  struct Lane
  {
    std::deque<WorkerId> mReady;
    std::condition_variable mNotEmpty;
  };

  void Enqueue(const WorkerId& aWorker, const Entry& aEntry);

  const std::size_t mMaxWorkers;
  mutable std::mutex mMutex;
  std::unordered_map<WorkerId, Entry> mEntries;
  std::vector<Lane> mLanes;
  bool mClosed = false;
};

} // namespace oriolevane::workers
