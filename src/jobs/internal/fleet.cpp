#include "jobs/internal/fleet.h"

#include <algorithm>

#include "framework/log.h"

namespace oriolevane::jobs {

namespace {

using namespace std::chrono_literals;

// Number of fencing tokens that an owner has for each worker.
constexpr std::uint64_t kTokensPerEpoch = 1U << 20U;
// Duration of a long poll of a worker that has runs.
constexpr std::chrono::milliseconds kBusyPollWait = 500ms;
// Duration of a long poll of a worker without runs.
constexpr std::chrono::milliseconds kIdlePollWait = 2000ms;
// The longest time from a change of a registry entry until it is read here,
// while the store is not slow.
constexpr std::chrono::milliseconds kMaxEntryDelay = 300ms;
// A reading of a worker's clock that differs by more from what the reading
// before it lets expect is taken for that of another process.
constexpr std::chrono::milliseconds kMaxClockDeviation = 1000ms;

// True when tasks may run on a worker with the new entry that must not run
// there with the former one, whatever the capacity.
bool
MaySuitOtherTasks(const WorkerEntry& aFormer, const WorkerEntry& aNew)
{
  return aFormer.mPool != aNew.mPool || aFormer.mKind != aNew.mKind ||
         aFormer.mRack != aNew.mRack;
}

std::chrono::milliseconds
ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration);
}

// How far a reading of the worker's clock is ahead of what the reading before
// it and the time between them say.
WorkerTime
DeviationOf(const Worker& aWorker, WorkerTime aTime, TimePoint aNow)
{
  if (!aWorker.mClock.has_value()) {
    return WorkerTime(0);
  }
  return aTime - aWorker.mClock->mWorkerTime -
         ToMilliseconds(aNow - aWorker.mClock->mReadAt);
}

} // namespace

Worker*
Fleet::Find(const WorkerId& aId)
{
  const auto found = mWorkers.find(aId);
  return found == mWorkers.end() ? nullptr : &found->second;
}

void
Fleet::Recover(const std::vector<WorkerRecord>& aRecords, TimePoint aNow)
{
  for (const WorkerRecord& record : aRecords) {
    Worker& worker = mWorkers[record.mId];
    worker.mEntry.mId = record.mId;
    worker.mEntry.mAddress = record.mAddress;
    worker.mEntry.mPool = record.mPool;
    worker.mRecorded = true;
    worker.mMaxCapacity = record.mMaxCapacity;
    worker.mLease.Recover(record.mSettledIncarnation, aNow, mOptions);
    worker.mToken = FencingToken(mOptions.mEpoch.mValue * kTokensPerEpoch + 1);
  }
  UpdateRecoveredRunsEnd();
}

void
Fleet::EndPredecessor(TimePoint aNow, const RunEnds& aRunEnds)
{
  for (auto& [id, worker] : mWorkers) {
    worker.mLease.EndPredecessor(aNow, mOptions);
    if (const auto end = aRunEnds.find(id); end != aRunEnds.end()) {
      worker.mLease.EndPredecessorsRunsBy(end->second);
    }
  }
  UpdateRecoveredRunsEnd();
}

void
Fleet::UpdateRecoveredRunsEnd()
{
  mRecoveredRunsEnd = {};
  for (const auto& [id, worker] : mWorkers) {
    if (!KnowsAllRunsOf(worker)) {
      mRecoveredRunsEnd =
        std::max(mRecoveredRunsEnd, worker.mLease.RunsEndBy());
    }
  }
}

bool
Fleet::Register(const WorkerEntry& aEntry, TimePoint aNow)
{
  const auto [entry, added] = mWorkers.try_emplace(aEntry.mId);
  Worker& worker = entry->second;
  const WorkerIncarnation former = worker.mEntry.mIncarnation;
  const bool namesIncarnation = aEntry.mIncarnation != WorkerIncarnation();
  if (worker.mEntryNamesIncarnation && !namesIncarnation) {
    LogWarning("worker_entry_without_incarnation").With("worker", aEntry.mId);
    return false;
  }
  // Until an entry names one, they are of the process that is known.
  const WorkerIncarnation incarnation =
    namesIncarnation ? aEntry.mIncarnation : former;
  const bool otherIncarnation =
    !added && former != WorkerIncarnation() && former < incarnation;
  const bool addressChanged =
    !added && worker.mEntry.mAddress != aEntry.mAddress;
  if (!added && incarnation < former) {
    return false;
  }
  if (otherIncarnation) {
    BeginIncarnation(worker, aEntry.mIncarnation, aNow);
  }
  // Tasks that found no suitable worker are tried again only after a gain.
  if (!aEntry.mCapacity.FitsIn(worker.mEntry.mCapacity) ||
      MaySuitOtherTasks(worker.mEntry, aEntry)) {
    NoteCapacityGain(worker);
  }
  worker.mEntry = aEntry;
  worker.mEntry.mIncarnation = incarnation;
  worker.mEntryIsFormer = false;
  worker.mEntryNamesIncarnation = namesIncarnation;
  UpdateDeparture(worker, aNow);
  worker.mRegistered = true;
  if (added) {
    worker.mToken = FencingToken(mOptions.mEpoch.mValue * kTokensPerEpoch + 1);
    worker.mMaxCapacity = Resources();
    // No owner has started tasks, or extended a lease, on a worker that has no
    // record.
    worker.mReconciled = true;
    if (!WasRemovedLately(aEntry.mId, aNow)) {
      worker.mLease.BeginSettled(incarnation);
    }
    worker.mNextPollAt = aNow;
    LogInfo("worker_registered")
      .With("worker", aEntry.mId)
      .With("address", aEntry.mAddress)
      .With("incarnation", aEntry.mIncarnation);
  }
  const bool returned = worker.mRetired && !aEntry.mDraining;
  const bool grown =
    worker.mMaxCapacity.has_value() && RaiseMaxCapacity(worker);
  if (added || addressChanged || returned || grown) {
    worker.mRetired = false;
    RecordBeforeStarts(worker);
  }
  return otherIncarnation;
}

void
Fleet::UpdateDeparture(Worker& aWorker, TimePoint aNow)
{
  const std::optional<std::chrono::milliseconds>& leavesIn =
    aWorker.mEntry.mLeavesIn;
  if (!aWorker.mEntry.mDraining || !leavesIn.has_value()) {
    aWorker.mLeavesAt.reset();
    return;
  }
  const TimePoint leavesAt = aNow + *leavesIn - kMaxEntryDelay;
  if (!aWorker.mLeavesAt.has_value()) {
    LogInfo("worker_draining")
      .With("worker", aWorker.Id())
      .With("leaves_in_ms", leavesIn->count())
      .With("runs", aWorker.mRuns.size());
  }
  aWorker.mLeavesAt = std::min(aWorker.mLeavesAt.value_or(leavesAt), leavesAt);
}

void
Fleet::Unregister(const WorkerId& aId, TimePoint aNow)
{
  Worker* worker = Find(aId);
  if (worker == nullptr || !worker->mRegistered) {
    return;
  }
  worker->mRegistered = false;
  worker->mUnregisteredSince = aNow;
  LogInfo("worker_unregistered").With("worker", aId);
}

void
Fleet::BeginIncarnation(Worker& aWorker,
                        WorkerIncarnation aIncarnation,
                        TimePoint aNow)
{
  LogInfo("worker_restarted")
    .With("worker", aWorker.Id())
    .With("incarnation", aIncarnation)
    .With("previous_incarnation", aWorker.mEntry.mIncarnation)
    .With("long_poll_unanswered", aWorker.mLongPollInFlight)
    .With("short_poll_unanswered", aWorker.mShortPollInFlight)
    .With("lease_left_ms",
          ToMilliseconds(aWorker.mLease.RunsEndBy() - aNow).count());
  aWorker.InterruptRuns();
  aWorker.mRestartKnownAt = aNow;
  aWorker.mEntry.mIncarnation = aIncarnation;
  aWorker.mEntryIsFormer = true;
  aWorker.mClock.reset();
  aWorker.mProcessedEndSerial = 0;
  aWorker.mRecordedEndSerial = 0;
  aWorker.mUnrecordedEndSerials.clear();
  aWorker.mHealth = {};
  aWorker.mHasUnknownLoad = false;
  aWorker.mLastAnswerSerial = aWorker.mLastPollSerial;
  // The new incarnation has not seen any token yet, so an order that is still
  // on its way could start a run there.
  aWorker.mReconciled = false;
  if (aWorker.mLease.BeginIncarnation()) {
    RecordBeforeStarts(aWorker);
  }
  RaiseToken(aWorker);
  aWorker.mReconcilingToken = aWorker.mToken;
}

void
Fleet::OnEarlierOrdersRefused(Worker& aWorker, TimePoint aNow)
{
  if (aWorker.mLease.RefuseEarlierOrders(
        aWorker.mEntry.mIncarnation, aNow, mOptions)) {
    RecordBeforeStarts(aWorker);
  }
}

void
Fleet::RaiseToken(Worker& aWorker)
{
  ++aWorker.mToken.mValue;
  aWorker.mPollWanted = true;
}

void
Fleet::ReadClock(Worker& aWorker, WorkerTime aTime, TimePoint aNow)
{
  const WorkerTime deviation = DeviationOf(aWorker, aTime, aNow);
  if (std::chrono::abs(deviation) > kMaxClockDeviation) {
    LogInfo("worker_clock_jumped")
      .With("worker", aWorker.Id())
      .With("deviation_ms", deviation.count());
    // Another process seems to have carried out the order, with a lease end by
    // the clock of the former one.
    aWorker.mLease.Extend(aNow, mOptions.mLongestLease, mOptions);
    aWorker.mPollWanted = true;
  }
  aWorker.mClock = ClockReading{ .mWorkerTime = aTime, .mReadAt = aNow };
  aWorker.mLastAnswerAt = aNow;
}

std::optional<WorkerTime>
Fleet::GrantLease(Worker& aWorker, TimePoint aNow)
{
  if (!aWorker.mClock.has_value()) {
    return std::nullopt;
  }
  const Duration lease =
    std::min<Duration>(mOptions.mLease, mOwnership.End() - aNow);
  if (lease <= Duration::zero()) {
    return std::nullopt;
  }
  const auto elapsed = std::chrono::duration_cast<WorkerTime>(
    aNow - aWorker.mClock->mReadAt + lease);
  aWorker.mLease.Extend(aNow, lease, mOptions);
  return aWorker.mClock->mWorkerTime + elapsed;
}

void
Fleet::SendPoll(Worker& aWorker,
                TimePoint aNow,
                std::chrono::milliseconds aWait,
                const std::function<void(const PollOrder&)>& aSend)
{
  (aWait.count() > 0 ? aWorker.mLongPollInFlight : aWorker.mShortPollInFlight) =
    true;
  // An unreachable worker may have restarted and number its ended runs
  // from the start again. Acknowledging the old serials would discard new ends.
  const std::uint64_t confirmed =
    aWorker.mReachable ? aWorker.mRecordedEndSerial : 0;
  // An unreachable worker may receive orders although its answers are lost. Its
  // lease is not renewed, so that it expires. A worker without a record runs
  // nothing, and its next process must be able to rely on that.
  const bool recorded = aWorker.mRecorded || !aWorker.mRuns.empty();
  const std::optional<WorkerTime> lease =
    aWorker.mReachable && recorded ? GrantLease(aWorker, aNow) : std::nullopt;
  aSend({ .mWorker = aWorker.Target(),
          .mToken = aWorker.mToken,
          .mSerial = ++aWorker.mLastPollSerial,
          .mLeaseEnd = lease,
          .mConfirmedEndSerial = confirmed,
          .mWait = aWait });
}

void
Fleet::SendDuePolls(TimePoint aNow,
                    const std::function<void(const PollOrder&)>& aSend)
{
  for (auto& [id, worker] : mWorkers) {
    if (worker.mPollWanted && !worker.mShortPollInFlight) {
      worker.mPollWanted = false;
      SendPoll(worker, aNow, 0ms, aSend);
      continue;
    }
    if (worker.mLongPollInFlight || worker.mShortPollInFlight ||
        worker.mNextPollAt > aNow) {
      continue;
    }
    // A long poll would return at once while there are unacknowledged ends.
    const bool unrecorded =
      worker.mProcessedEndSerial > worker.mRecordedEndSerial;
    if (!worker.mReachable || unrecorded) {
      SendPoll(worker, aNow, 0ms, aSend);
      continue;
    }
    SendPoll(worker,
             aNow,
             worker.mRuns.empty() ? kIdlePollWait : kBusyPollWait,
             aSend);
  }
}

bool
Fleet::KnowsAllRunsOf(const Worker& aWorker) const
{
  return aWorker.mReconciled &&
         mOwnership.IsProvenAt(aWorker.mLease.FormerRunsEndBy());
}

bool
Fleet::IsReconciled() const
{
  return mOwnership.IsProvenAt(mRecoveredRunsEnd) ||
         std::ranges::all_of(mWorkers, [this](const auto& aEntry) {
           return KnowsAllRunsOf(aEntry.second);
         });
}

} // namespace oriolevane::jobs
