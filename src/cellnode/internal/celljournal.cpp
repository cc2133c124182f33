#include "cellnode/celljournal.h"

#include <algorithm>
#include <utility>

#include "cellnode/compression.h"
#include "cellnode/recordcodec.h"
#include "framework/log.h"

namespace oriolevane::cellnode {

namespace {

using namespace std::chrono_literals;

// The pause after the store returned an error other than a timeout, counted
// from the time the call was sent.
constexpr std::chrono::milliseconds kRetryPauseAfterError = 120ms;
constexpr int kMaxOutstandingCalls = 6;

std::string
TableName(jobs::RecordKind aKind)
{
  switch (aKind) {
    case jobs::RecordKind::Job:
      return "jobs";
    case jobs::RecordKind::Progress:
      return "progress";
    case jobs::RecordKind::Finished:
      return "finished";
    case jobs::RecordKind::Worker:
      return "workers";
  }
  return "jobs";
}

struct Encoder
{
  std::string operator()(const std::monostate&) const { return {}; }
  template<typename Record>
  std::string operator()(const Record& aRecord) const
  {
    return Encode(aRecord);
  }
};

} // namespace

RowKey
CellJournal::OwnerKey(const std::string& aPart)
{
  return { .mTable = "owners", .mPart = aPart, .mName = "owner" };
}

RowKey
CellJournal::KeyOf(const jobs::RecordKey& aKey, const std::string& aPart)
{
  return { .mTable = TableName(aKey.mKind),
           .mPart = aPart,
           .mName = aKey.mName };
}

CellJournal::CellJournal(CellJournalOptions aOptions,
                         OwnerRow aOwner,
                         RowVersion aOwnerVersion,
                         jobs::RecordWriteQueue& aWriteQueue,
                         CellJournalHooks aHooks)
  : mOptions(std::move(aOptions))
  , mOwner(std::move(aOwner))
  , mOwnerVersion(aOwnerVersion)
  , mWriteQueue(aWriteQueue)
  , mHooks(std::move(aHooks))
  , mTimeoutEstimator({ .mMax = mOptions.mMaxResendTimeout })
{
}

CellJournal::~CellJournal()
{
  *mAlive = false;
}

void
CellJournal::Tick(TimePoint aNow)
{
  if (mLost || mReleased || aNow < mNextSendAt) {
    return;
  }
  if (mInFlight.has_value()) {
    const bool late =
      aNow >= mResendAt && mOutstandingCalls < kMaxOutstandingCalls;
    if (mOutstandingCalls == 0 || late) {
      SendTransaction(aNow);
    }
    return;
  }
  if (mWriteQueue.HasWaiting() && !mBatchStartedAt.has_value()) {
    mBatchStartedAt = aNow;
  }
  const bool batchReady = mBatchStartedAt.has_value() &&
                          *mBatchStartedAt + mOptions.mBatchDelay <= aNow;
  const bool renewal =
    mRenewalRequested || mRenewedAt + mOptions.mRenewInterval <= aNow;
  if (batchReady || renewal || mReleasing) {
    BuildTransaction();
    mFirstSentAt = aNow;
    SendTransaction(aNow);
  }
}

void
CellJournal::BuildTransaction()
{
  mBatchStartedAt.reset();
  mRenewalRequested = false;
  mInFlight.emplace();
  mAttempts = 0;
  mOutstandingCalls = 0;
  mBytes = 0;
  ++mOwner.mSequence;
  std::size_t entries = 1;
  // When only deletions of closed jobs are left, a release does not wait for
  // them; the next owner deletes them.
  const bool onlyRemovals = mWriteQueue.Waiting() == 0;
  while (mWriteQueue.HasWaiting() && !(mReleasing && onlyRemovals) &&
         entries < mOptions.mMaxEntries && mBytes < mOptions.mMaxBytes) {
    for (const jobs::RecordKey& key : mWriteQueue.TakeBatch(1)) {
      AddRecord(key);
      ++entries;
    }
  }
  // Only a transaction without records releases the shard, so that all records
  // are stored before.
  mOwner.mReleased = mReleasing && entries == 1;
  if (mOwner.mReleased) {
    mOwner.mRunsEndIn = mHooks.mRunsEndIn();
  }
  mInFlightOwnerRow = Encode(mOwner);
  const RowKey owner = OwnerKey(mOptions.mPart);
  mInFlight->mConditions.push_back(
    { .mKey = owner, .mVersion = mOwnerVersion });
  mInFlight->mWrites.push_back({ .mKey = owner, .mValue = mInFlightOwnerRow });
  LogDebug("commit_built")
    .With("sequence", mOwner.mSequence)
    .With("entries", entries)
    .With("condition", mOwnerVersion);
}

void
CellJournal::AddRecord(const jobs::RecordKey& aKey)
{
  const jobs::RecordValue value = mHooks.mValueOf(aKey);
  const RowKey key = KeyOf(aKey, mOptions.mPart);
  if (std::holds_alternative<std::monostate>(value)) {
    mInFlight->mRemovals.push_back(key);
    return;
  }
  std::string text = std::visit(Encoder{}, value);
  if (mOptions.mCompressRecords) {
    text = CompressRow(std::move(text));
  }
  if (text.size() > kMaxStoredRowBytes) {
    // The store would refuse the transaction for ever, and with it all later
    // changes of the shard.
    LogError("record_too_large")
      .With("table", key.mTable)
      .With("name", key.mName)
      .With("bytes", text.size());
    return;
  }
  mBytes += text.size();
  mInFlight->mWrites.push_back({ .mKey = key, .mValue = std::move(text) });
}

void
CellJournal::SendTransaction(TimePoint aNow)
{
  ++mAttempts;
  ++mOutstandingCalls;
  mResendAt = aNow + mTimeoutEstimator.Timeout(mAttempts);
  if (mAttempts > 1) {
    LogInfo("commit_resent")
      .With("sequence", mOwner.mSequence)
      .With("attempt", mAttempts)
      .With("outstanding", mOutstandingCalls);
  }
  mHooks.mCommit(*mInFlight,
                 mOptions.mCallTimeout,
                 [this, alive = mAlive, sequence = mOwner.mSequence, aNow](
                   const absl::StatusOr<CommitAnswer>& aAnswer) {
                   if (*alive) {
                     OnAnswer(sequence, aNow, aAnswer);
                   }
                 });
}

void
CellJournal::OnAnswer(std::uint64_t aSequence,
                      TimePoint aSentAt,
                      const absl::StatusOr<CommitAnswer>& aAnswer)
{
  if (aSequence != mOwner.mSequence || !mInFlight.has_value()) {
    // Another call of the same transaction was answered before.
    return;
  }
  --mOutstandingCalls;
  if (!aAnswer.ok()) {
    LogWarning("commit_call_failed")
      .With("sequence", mOwner.mSequence)
      .With("attempt", mAttempts)
      .With("status", aAnswer.status().ToString());
    if (!absl::IsDeadlineExceeded(aAnswer.status())) {
      mNextSendAt = aSentAt + kRetryPauseAfterError;
    }
    return;
  }
  // An answer after the timeout of its call was held up here, by a suspension
  // or a pause, and does not show how fast the store is.
  if (const Duration taken = mHooks.mNow() - aSentAt;
      taken <= mOptions.mCallTimeout) {
    mTimeoutEstimator.OnAnswer(taken);
  }
  if (aAnswer->mApplied) {
    OnApplied(aAnswer->mVersion, aSentAt);
  } else {
    OnConflict(*aAnswer);
  }
}

void
CellJournal::OnConflict(const CommitAnswer& aAnswer)
{
  const RowKey owner = OwnerKey(mOptions.mPart);
  const auto row =
    std::find_if(aAnswer.mCurrent.begin(),
                 aAnswer.mCurrent.end(),
                 [&](const Row& aRow) { return aRow.mKey == owner; });
  if (row != aAnswer.mCurrent.end() && row->mValue == mInFlightOwnerRow) {
    // An earlier attempt was applied but its answer was lost. The renewal
    // counts from the first call, because it is not known which call was
    // applied.
    OnApplied(row->mVersion, mFirstSentAt);
    return;
  }
  mLost = true;
  LogWarning("ownership_lost")
    .With("epoch", mOwner.mEpoch)
    .With("sequence", mOwner.mSequence)
    .With("row", row == aAnswer.mCurrent.end() ? "" : row->mValue);
  mHooks.mOnOwnershipLost();
}

void
CellJournal::OnApplied(RowVersion aVersion, TimePoint aSentAt)
{
  LogDebug("commit_applied")
    .With("sequence", mOwner.mSequence)
    .With("row_version", aVersion);
  mOwnerVersion = aVersion;
  mHooks.mOnCommitted(mHooks.mNow() - mFirstSentAt);
  mReleased = mOwner.mReleased;
  mInFlight.reset();
  mRenewedAt = aSentAt;
  mHooks.mOnRecorded(mWriteQueue.Confirm());
}

} // namespace oriolevane::cellnode
