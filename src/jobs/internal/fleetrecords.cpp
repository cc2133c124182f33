// The part of the fleet that keeps the workers' records, for the next owner.
#include <algorithm>

#include "framework/log.h"
#include "jobs/internal/fleet.h"

namespace oriolevane::jobs {

namespace {

using namespace std::chrono_literals;

// Number of workers of which one pass records that their leases are settled, so
// that the records of jobs do not wait behind those of a whole cell.
constexpr int kMaxSettledPerPass = 50;
// The next owner is told of so many silent workers, which bounds the owner row.
// It waits for the whole lease of the others.
constexpr std::size_t kMaxRunEnds = 200;
// Orders are not expected to be on their way for longer.
constexpr std::chrono::milliseconds kRemovalMemory = 60000ms;
// How long a worker that has left the registry and does not answer is kept.
constexpr std::chrono::milliseconds kUnregisteredRetention = 3000ms;

} // namespace

bool
Fleet::RaiseMaxCapacity(Worker& aWorker)
{
  const Resources& capacity = aWorker.mEntry.mCapacity;
  Resources& most = *aWorker.mMaxCapacity;
  if (capacity.FitsIn(most)) {
    return false;
  }
  most = Most(most, capacity);
  return true;
}

void
Fleet::MarkRecord(Worker& aWorker)
{
  aWorker.mRecordPosition = mWriteQueue.Mark(
    { .mKind = RecordKind::Worker, .mName = aWorker.Id().mValue });
}

void
Fleet::RecordBeforeStarts(Worker& aWorker)
{
  aWorker.mRecorded = false;
  MarkRecord(aWorker);
}

void
Fleet::OnRecorded(RecordPosition aPosition)
{
  for (auto& [id, worker] : mWorkers) {
    worker.mRecorded =
      !worker.mRetired &&
      (worker.mRecorded || worker.mRecordPosition <= aPosition);
    while (!worker.mUnrecordedEndSerials.empty() &&
           worker.mUnrecordedEndSerials.front().first <= aPosition) {
      worker.mRecordedEndSerial = worker.mUnrecordedEndSerials.front().second;
      worker.mUnrecordedEndSerials.pop_front();
      worker.mNextPollAt = {};
    }
  }
}

void
Fleet::RetireIfIdle(Worker& aWorker)
{
  const bool leaving = !aWorker.mRegistered || aWorker.mEntry.mDraining;
  if (leaving && aWorker.mRecorded && KnowsAllRunsOf(aWorker) &&
      aWorker.mRuns.empty() && aWorker.mLostRuns.empty()) {
    aWorker.mRecorded = false;
    aWorker.mRetired = true;
    mWriteQueue.Mark(
      { .mKind = RecordKind::Worker, .mName = aWorker.Id().mValue });
  }
}

void
Fleet::CompleteRecord(Worker& aWorker)
{
  if (aWorker.mMaxCapacity.has_value() || !aWorker.mRegistered ||
      !KnowsAllRunsOf(aWorker) || aWorker.mRetired) {
    return;
  }
  // All runs are known. Until the record is in the store, a later owner
  // presumes no bound.
  aWorker.mMaxCapacity = Most(aWorker.mEntry.mCapacity, aWorker.mUsed);
  MarkRecord(aWorker);
}

bool
Fleet::SettleLease(Worker& aWorker, TimePoint aNow)
{
  if (!aWorker.mRecorded ||
      !aWorker.mLease.Settle(aWorker.mEntry.mIncarnation, aNow)) {
    return false;
  }
  MarkRecord(aWorker);
  return true;
}

RunEnds
Fleet::SilentWorkersRunEnds(TimePoint aNow) const
{
  RunEnds ends;
  for (const auto& [id, worker] : mWorkers) {
    const TimePoint end = std::max(worker.mLease.RunsEndBy(), aNow);
    if (!worker.mReachable && end - aNow < mOptions.mLease &&
        ends.size() < kMaxRunEnds) {
      ends[id] = end;
    }
  }
  return ends;
}

bool
Fleet::WasRemovedLately(const WorkerId& aId, TimePoint aNow) const
{
  const auto removed = mRemovedAt.find(aId);
  return removed != mRemovedAt.end() && removed->second + kRemovalMemory > aNow;
}

void
Fleet::Prune(TimePoint aNow, const std::function<void(Worker&)>& aOnRemoved)
{
  std::erase_if(mRemovedAt, [aNow](const auto& aEntry) {
    return aEntry.second + kRemovalMemory <= aNow;
  });
  int settled = 0;
  for (auto entry = mWorkers.begin(); entry != mWorkers.end();) {
    Worker& worker = entry->second;
    CompleteRecord(worker);
    settled +=
      settled < kMaxSettledPerPass && SettleLease(worker, aNow) ? 1 : 0;
    RetireIfIdle(worker);
    const bool gone =
      !worker.mRegistered && !worker.mReachable && worker.mRuns.empty() &&
      worker.mUnregisteredSince + kUnregisteredRetention <= aNow &&
      mOwnership.IsProvenAt(worker.mLease.RunsEndBy());
    if (!gone || worker.mLongPollInFlight || worker.mShortPollInFlight) {
      ++entry;
      continue;
    }
    LogInfo("worker_gone").With("worker", worker.Id());
    mWriteQueue.Mark(
      { .mKind = RecordKind::Worker, .mName = worker.Id().mValue });
    mRemovedAt[worker.Id()] = aNow;
    aOnRemoved(worker);
    entry = mWorkers.erase(entry);
  }
}

std::optional<WorkerRecord>
Fleet::RecordOf(const WorkerId& aId) const
{
  const auto found = mWorkers.find(aId);
  if (found == mWorkers.end() || found->second.mRetired) {
    return std::nullopt;
  }
  return WorkerRecord{ .mId = aId,
                       .mAddress = found->second.mEntry.mAddress,
                       .mPool = found->second.mEntry.mPool,
                       .mMaxCapacity = found->second.mMaxCapacity,
                       .mSettledIncarnation =
                         found->second.mLease.SettledIncarnation() };
}

} // namespace oriolevane::jobs
