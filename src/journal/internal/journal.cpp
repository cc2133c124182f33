#include "journal/journal.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

namespace oriolevane::journal {

namespace {

constexpr std::size_t kMostCommandsAtOnce = 4'096;

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

Duration
Until(TimePoint aNext)
{
  return std::max(aNext - Now(), Duration::zero());
}

absl::Status
RefusedBy(bool aIsClosed)
{
  return aIsClosed ? absl::FailedPreconditionError("the journal has stopped")
                   : absl::ResourceExhaustedError("the journal is full");
}

} // namespace

Journal::Journal(JournalOptions aOptions,
                 store::TableHooks aTable,
                 store::ObjectHooks aObjects,
                 JournalHooks aHooks)
  : mOptions(aOptions)
  , mTable(std::move(aTable))
  , mObjects(std::move(aObjects))
  , mHooks(std::move(aHooks))
  , mLoop(mOptions, mTable, mHooks)
  , mSnapshots(mOptions, mTable, mObjects, MakeSnapshotHooks())
  , mCommands(mOptions.mRingCapacity)
  , mSnapshotCommands(mOptions.mSnapshotRingCapacity)
{
}

Journal::~Journal()
{
  Stop();
}

void
Journal::Start()
{
  mJournalThread = std::thread([this] { RunJournal(); });
  mSnapshotThread = std::thread([this] { RunSnapshots(); });
}

void
Journal::Stop()
{
  mCommands.Close();
  mSnapshotCommands.Close();
  if (mJournalThread.joinable()) {
    mJournalThread.join();
  }
  if (mSnapshotThread.joinable()) {
    mSnapshotThread.join();
  }
}

absl::StatusOr<RecoveredPartition>
Journal::Recover(PartitionId aPartition) const
{
  return RecoverPartition(mTable, mObjects, aPartition, mOptions.mRecovery);
}

absl::Status
Journal::Open(const OpenPartition& aPartition)
{
  return Push(
    [aPartition](JournalLoop& aLoop, TimePoint) { aLoop.Open(aPartition); });
}

absl::Status
Journal::Close(PartitionId aPartition)
{
  return Push(
    [aPartition](JournalLoop& aLoop, TimePoint) { aLoop.Close(aPartition); });
}

absl::Status
Journal::Append(PartitionId aPartition,
                std::uint64_t aSequence,
                std::string aBytes)
{
  const std::size_t bytes = aBytes.size();
  if (mRingBytes + bytes > mOptions.mRingBytes) {
    return RefusedBy(false);
  }
  mRingBytes += bytes;
  LogRecord record{ .mSequence = aSequence, .mBytes = std::move(aBytes) };
  absl::Status status =
    Push([this, aPartition, bytes, record = std::move(record)](
           JournalLoop& aLoop, TimePoint aNow) mutable {
      mRingBytes -= bytes;
      aLoop.Append(aPartition, std::move(record), aNow);
    });
  if (!status.ok()) {
    mRingBytes -= bytes;
  }
  return status;
}

absl::Status
Journal::Flush(std::function<void()> aDone)
{
  return Push([done = std::move(aDone)](JournalLoop& aLoop, TimePoint) {
    aLoop.Flush(done);
  });
}

absl::Status
Journal::SaveSnapshot(PartitionId aPartition,
                      Epoch aEpoch,
                      std::uint64_t aSequence,
                      std::string aBytes)
{
  Snapshot snapshot{ { aPartition, aEpoch, aSequence }, std::move(aBytes) };
  const bool queued = mSnapshotCommands.TryPush(
    [snapshot = std::move(snapshot)](SnapshotLoop& aLoop) mutable {
      aLoop.Upload(std::move(snapshot));
    });
  return queued ? absl::OkStatus() : RefusedBy(mSnapshotCommands.IsClosed());
}

absl::Status
Journal::Push(Command aCommand)
{
  return mCommands.TryPush(std::move(aCommand))
           ? absl::OkStatus()
           : RefusedBy(mCommands.IsClosed());
}

void
Journal::RunJournal()
{
  while (!mCommands.IsClosed()) {
    mLoop.SetLiveNodes(mLiveNodes);
    const TimePoint next = mLoop.Step(Now());
    for (const Command& command :
         mCommands.PopMany(kMostCommandsAtOnce, Until(next))) {
      command(mLoop, Now());
    }
  }
}

void
Journal::RunSnapshots()
{
  while (!mSnapshotCommands.IsClosed()) {
    const TimePoint next = mSnapshots.Step(Now());
    for (const SnapshotCommand& command :
         mSnapshotCommands.PopMany(kMostCommandsAtOnce, Until(next))) {
      command(mSnapshots);
    }
  }
}

// Runs on the snapshot thread.
void
Journal::PointAt(const SnapshotId& aSnapshot)
{
  JournalLoop::PointDone done = [this, aSnapshot](const auto& aOutcome) {
    OnPointed(aSnapshot, aOutcome);
  };
  const absl::Status status =
    Push([aSnapshot, done = std::move(done)](JournalLoop& aLoop, TimePoint) {
      aLoop.PointAtSnapshot(aSnapshot, done);
    });
  if (!status.ok()) {
    ReportSnapshot({ aSnapshot, status });
  }
}

// Runs on the journal thread. When the snapshot thread has no room the old log
// stays until the next snapshot removes it too.
void
Journal::OnPointed(const SnapshotId& aSnapshot,
                   const JournalLoop::PointOutcome& aOutcome)
{
  if (aOutcome.mStatus.ok()) {
    std::string replaced =
      aOutcome.mReplaced ? aOutcome.mReplaced->mObject : std::string();
    mSnapshotCommands.TryPush(
      [aSnapshot, replaced = std::move(replaced)](SnapshotLoop& aLoop) {
        aLoop.CleanUp(aSnapshot, replaced);
      });
  } else if (aOutcome.mUnreferenced) {
    mSnapshotCommands.TryPush(
      [aSnapshot](SnapshotLoop& aLoop) { aLoop.Discard(aSnapshot); });
  }
  ReportSnapshot({ aSnapshot, aOutcome.mStatus });
}

void
Journal::ReportSnapshot(const SnapshotOutcome& aOutcome) const
{
  if (mHooks.mOnSnapshot) {
    mHooks.mOnSnapshot(aOutcome);
  }
}

SnapshotLoop::Hooks
Journal::MakeSnapshotHooks()
{
  return {
    .mOnStored = [this](const SnapshotId& aSnapshot) { PointAt(aSnapshot); },
    .mOnFailed =
      [this](const SnapshotOutcome& aOutcome) { ReportSnapshot(aOutcome); },
  };
}

} // namespace oriolevane::journal
