#include "journal/journalloop.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "framework/log.h"
#include "journal/logcodec.h"
#include "membership/rowcodec.h"

namespace oriolevane::journal {

namespace {

constexpr std::chrono::milliseconds kIdleStep{ 500 };

// Any row serves to learn whether the store answers.
constexpr const char* kProbedRow = "partitions/0";

bool
IsAnswer(const absl::Status& aStatus)
{
  return !absl::IsUnavailable(aStatus) && !absl::IsDeadlineExceeded(aStatus);
}

} // namespace

JournalLoop::JournalLoop(JournalOptions aOptions,
                         store::TableHooks aTable,
                         JournalHooks aHooks)
  : mOptions(aOptions)
  , mTable(std::move(aTable))
  , mHooks(std::move(aHooks))
  , mCommit(mOptions.mGroupCommit)
  , mHealth(mOptions.mHealth)
{
}

TimePoint
JournalLoop::Step(TimePoint aNow)
{
  Report(mCommit.Expire(aNow));
  const bool due = aNow >= mNextCommit;
  if (due) {
    if (mCommit.HasWork()) {
      Attempt(aNow);
    } else if (mHealth.State() == StoreHealth::Down) {
      Probe(aNow);
    }
  }
  if (due && !mPointings.empty()) {
    Point(aNow);
  }
  if (mCommit.IsIdle()) {
    for (const auto& done : std::exchange(mFlushes, {})) {
      done();
    }
  }
  const bool busy = mCommit.HasWork() || !mPointings.empty();
  return busy ? mNextCommit : std::max(mNextCommit, aNow + kIdleStep);
}

void
JournalLoop::Open(const OpenPartition& aPartition)
{
  Report(mCommit.Open(aPartition));
}

void
JournalLoop::Close(PartitionId aPartition)
{
  Report(mCommit.Close(aPartition));
}

void
JournalLoop::Append(PartitionId aPartition, LogRecord aRecord, TimePoint aNow)
{
  const auto refused = mCommit.Append(aPartition, std::move(aRecord), aNow);
  if (refused) {
    Report({ *refused });
  }
}

void
JournalLoop::Flush(std::function<void()> aDone)
{
  mFlushes.push_back(std::move(aDone));
}

void
JournalLoop::PointAtSnapshot(const SnapshotId& aSnapshot, PointDone aDone)
{
  mPointings.push_back({ aSnapshot, std::move(aDone) });
}

void
JournalLoop::Attempt(TimePoint aNow)
{
  mNextCommit = aNow + CommitInterval(mOptions.mPace, mLiveNodes);
  if (!mCommit.RowsInQuestion().empty() && !ReadBack()) {
    NoteResult(absl::UnavailableError("read back failed"), aNow);
    return;
  }
  const store::Transaction transaction = mCommit.Prepare();
  if (transaction.mMutations.empty()) {
    return;
  }
  const absl::Status status = mTable.mCommit(transaction).status();
  TakeResult(status);
  NoteResult(status, aNow);
  if (!mCommit.RowsInQuestion().empty()) {
    ReadBack();
  }
}

void
JournalLoop::TakeResult(const absl::Status& aStatus)
{
  if (aStatus.ok()) {
    Report(mCommit.OnCommitted());
  } else if (absl::IsAborted(aStatus)) {
    mCommit.OnAborted();
  } else if (absl::IsUnavailable(aStatus)) {
    mCommit.OnNotApplied();
  } else {
    mCommit.OnUncertain();
    LogWarning("commit_uncertain").With("error", aStatus.ToString());
  }
}

bool
JournalLoop::ReadBack()
{
  std::vector<store::TableRow> rows;
  for (const std::string& key : mCommit.RowsInQuestion()) {
    auto row = mTable.mRead(key);
    if (!row.ok()) {
      return false;
    }
    rows.push_back(*std::move(row));
  }
  Report(mCommit.OnRowsRead(rows));
  return true;
}

void
JournalLoop::Point(TimePoint aNow)
{
  Pointing& pointing = mPointings.front();
  const absl::Status status = TryPoint(pointing);
  NoteResult(status, aNow);
  if (!IsAnswer(status) || absl::IsAborted(status)) {
    return;
  }
  const Pointing settled = std::move(pointing);
  mPointings.pop_front();
  settled.mDone({ .mStatus = status,
                  .mReplaced = settled.mBefore,
                  .mUnreferenced = settled.mUnreferenced });
}

// Safe to repeat: a row that points at the snapshot already is left as it is.
absl::Status
JournalLoop::TryPoint(Pointing& aPointing)
{
  const SnapshotId& snapshot = aPointing.mSnapshot;
  const std::string key = membership::PartitionRowKey(snapshot.mPartition);
  const auto row = mTable.mRead(key);
  if (!row.ok()) {
    return row.status();
  }
  auto content = membership::ParseOwnershipRow(row->mValue);
  const membership::SnapshotReference reference{
    .mObject = SnapshotObjectName(
      snapshot.mPartition, snapshot.mEpoch, snapshot.mSequence),
    .mSequence = snapshot.mSequence
  };
  aPointing.mUnreferenced =
    !aPointing.mTried && content.ok() && content->mSnapshot != reference;
  if (absl::Status status = CheckSnapshot(snapshot); !status.ok()) {
    return status;
  }
  if (!content.ok() || content->mEpoch != snapshot.mEpoch ||
      content->mOwner.Empty()) {
    return absl::FailedPreconditionError("partition has another owner");
  }
  if (content->mSnapshot == reference) {
    mCommit.SetRowVersion(snapshot.mPartition, row->mVersion);
    return absl::OkStatus();
  }
  if (content->mSnapshot &&
      content->mSnapshot->mSequence >= snapshot.mSequence) {
    return absl::InvalidArgumentError("a later snapshot is in force");
  }
  aPointing.mBefore = content->mSnapshot;
  aPointing.mTried = true;
  content->mSnapshot = reference;
  content->mLogFromEpoch = snapshot.mEpoch;
  const auto result = mTable.mCommit(
    { .mConditions = { { key, row->mVersion } },
      .mMutations = { { key, membership::EncodeOwnershipRow(*content) } } });
  if (result.ok()) {
    mCommit.SetRowVersion(snapshot.mPartition, result->VersionOf(key));
  }
  return result.status();
}

absl::Status
JournalLoop::CheckSnapshot(const SnapshotId& aSnapshot) const
{
  const auto known = mCommit.Status(aSnapshot.mPartition);
  if (!known || known->mEpoch != aSnapshot.mEpoch) {
    return absl::FailedPreconditionError("partition is not open");
  }
  if (aSnapshot.mSequence < known->mOpenedAfter ||
      aSnapshot.mSequence > known->mLastCommitted) {
    return absl::InvalidArgumentError("snapshot at an uncommitted sequence");
  }
  return absl::OkStatus();
}

void
JournalLoop::Probe(TimePoint aNow)
{
  NoteResult(mTable.mRead(kProbedRow).status(), aNow);
  mNextCommit = std::max(mNextCommit, aNow + mOptions.mRetryInterval);
}

void
JournalLoop::NoteResult(const absl::Status& aStatus, TimePoint aNow)
{
  const bool answered = IsAnswer(aStatus);
  if (answered) {
    mBackoff = Duration::zero();
  } else {
    mBackoff = std::clamp<Duration>(
      2 * mBackoff, mOptions.mRetryInterval, mOptions.mLongestRetryInterval);
    mNextCommit = std::max(mNextCommit, aNow + mBackoff);
  }
  const auto changed = mHealth.OnResult(answered);
  if (!changed) {
    return;
  }
  LogWarning("store_health")
    .With("state", *changed == StoreHealth::Up ? "up" : "down")
    .With("error", aStatus.ToString());
  if (mHooks.mOnStoreHealth) {
    mHooks.mOnStoreHealth(*changed);
  }
}

void
JournalLoop::Report(const std::vector<AppendOutcome>& aOutcomes) const
{
  for (const AppendOutcome& outcome : aOutcomes) {
    if (outcome.mResult == AppendResult::Deposed) {
      LogWarning("journal_deposed")
        .With("partition", outcome.mPartition)
        .With("epoch", outcome.mEpoch)
        .With("records", outcome.mSequences.size())
        .With("surely_not_written", outcome.mSurelyNotWritten);
    }
    if (mHooks.mOnOutcome) {
      mHooks.mOnOutcome(outcome);
    }
  }
}

} // namespace oriolevane::journal
