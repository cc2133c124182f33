#include "workers/internal/workertable.h"

#include <utility>

#include "framework/stablehash.h"

namespace oriolevane::workers {

WorkerTable::WorkerTable(std::size_t aHealthyLanes, std::size_t aMaxWorkers)
  : mMaxWorkers(aMaxWorkers)
  , mLanes(aHealthyLanes + 1)
{
}

bool
WorkerTable::Put(WorkerAddress aAddress, protocol::WorkerCommand aCommand)
{
  const std::lock_guard lock(mMutex);
  const WorkerId worker = aCommand.mWorker;
  if (!mEntries.contains(worker) && mEntries.size() >= mMaxWorkers) {
    return false;
  }
  Entry& entry = mEntries[worker];
  const bool queued = entry.mPending.has_value();
  entry.mForgotten = false;
  entry.mPending = std::move(aCommand);
  entry.mAddress = std::move(aAddress);
  if (!queued && !entry.mBusy) {
    Enqueue(worker, entry);
  }
  return true;
}

void
WorkerTable::Enqueue(const WorkerId& aWorker, const Entry& aEntry)
{
  const std::size_t index = aEntry.mSuspect
                              ? SuspectLane()
                              : StableHash(aWorker.mValue) % SuspectLane();
  mLanes[index].mReady.push_back(aWorker);
  mLanes[index].mNotEmpty.notify_one();
}

std::optional<TakenExchange>
WorkerTable::Take(std::size_t aLane)
{
  Lane& lane = mLanes[aLane];
  std::unique_lock lock(mMutex);
  while (true) {
    lane.mNotEmpty.wait(lock, [&] { return mClosed || !lane.mReady.empty(); });
    if (mClosed) {
      return std::nullopt;
    }
    const WorkerId worker = std::move(lane.mReady.front());
    lane.mReady.pop_front();
    const auto found = mEntries.find(worker);
    if (found == mEntries.end() || !found->second.mPending.has_value() ||
        found->second.mBusy) {
      continue;
    }
    Entry& entry = found->second;
    TakenExchange taken{ .mCommand = std::move(*entry.mPending),
                         .mAddress = entry.mAddress,
                         .mSession = std::move(entry.mSession) };
    entry.mPending.reset();
    entry.mBusy = true;
    if (taken.mSession != nullptr &&
        !(taken.mSession->Address() == entry.mAddress)) {
      taken.mSession.reset();
    }
    return taken;
  }
}

void
WorkerTable::Finish(const WorkerId& aWorker,
                    std::unique_ptr<ExchangeSession> aSession,
                    bool aSucceeded)
{
  const std::lock_guard lock(mMutex);
  const auto found = mEntries.find(aWorker);
  if (found == mEntries.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.mBusy = false;
  entry.mSuspect = !aSucceeded;
  entry.mSession = std::move(aSession);
  if (entry.mPending.has_value()) {
    Enqueue(aWorker, entry);
  } else if (entry.mForgotten) {
    mEntries.erase(found);
  }
}

void
WorkerTable::Forget(const WorkerId& aWorker)
{
  const std::lock_guard lock(mMutex);
  const auto found = mEntries.find(aWorker);
  if (found == mEntries.end()) {
    return;
  }
  found->second.mPending.reset();
  found->second.mForgotten = true;
  if (!found->second.mBusy) {
    mEntries.erase(found);
  }
}

void
WorkerTable::Close()
{
  const std::lock_guard lock(mMutex);
  mClosed = true;
  for (Lane& lane : mLanes) {
    lane.mNotEmpty.notify_all();
  }
}

std::size_t
WorkerTable::Size() const
{
  const std::lock_guard lock(mMutex);
  return mEntries.size();
}

} // namespace oriolevane::workers
