// Writes the changed records of a shard to the store, one transaction at a
// time. Each transaction is conditional on the version of the owner row that
// the previous one left. A transaction whose answer is late can therefore be
// sent again while the first call is still open: it is applied only once, and
// never after a later transaction.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cellnode/recordingforecast.h"
#include "cellnode/timeoutestimator.h"
#include "cellnode/types/ownerrow.h"
#include "cellnode/types/rows.h"
#include "jobs/cellscheduler.h"

namespace oriolevane::cellnode {

// The part of the store's tables that holds all rows of the shard.
inline const std::string kShardPart = "s0";

struct CellJournalOptions
{
  // The part of the store's tables that holds the shard.
  std::string mPart = kShardPart;
  // The maximum number of rows in one transaction, including the owner row.
  std::size_t mMaxEntries = 98;
  // The size at which a transaction takes no more records. The last record may
  // exceed it.
  std::size_t mMaxBytes = 600000;
  // How long a change waits for others to share its transaction, to save calls
  // to the store.
  std::chrono::milliseconds mBatchDelay{ 10 };
  // The interval of writes to the owner row when no record changes.
  std::chrono::milliseconds mRenewInterval{ 300 };
  // The timeout of one call.
  std::chrono::milliseconds mCallTimeout{ 3000 };
  // The longest time to wait for an answer before a transaction is sent again,
  // unless the store is known to take longer.
  std::chrono::milliseconds mMaxResendTimeout{ 800 };
  // Compresses the values of records. The owner row is not compressed, so that
  // nodes of older builds can read it.
  bool mCompressRecords = false;
};

struct CellJournalHooks
{
  std::function<void(const RowTransaction&,
                     Duration aTimeout,
                     std::function<void(absl::StatusOr<CommitAnswer>)>)>
    mCommit;
  // Returns the current value of a record; monostate deletes the row.
  std::function<jobs::RecordValue(const jobs::RecordKey&)> mValueOf;
  // Called when all changes up to this position are stored.
  std::function<void(jobs::RecordPosition)> mOnRecorded;
  // Called when the owner row shows that another node owns the shard.
  std::function<void()> mOnOwnershipLost;
  std::function<TimePoint()> mNow;
  // Returns how long runs may go on at workers that do not answer, for the
  // owner row of a release.
  std::function<std::map<WorkerId, std::chrono::milliseconds>()> mRunsEndIn =
    [] { return std::map<WorkerId, std::chrono::milliseconds>(); };
  // Called when a transaction is applied, with the time from its first call to
  // the answer.
  std::function<void(Duration)> mOnCommitted;
};

// Single-threaded. The caller runs Tick() every few milliseconds.
class CellJournal
{
public:
  CellJournal(CellJournalOptions aOptions,
              OwnerRow aOwner,
              RowVersion aOwnerVersion,
              jobs::RecordWriteQueue& aWriteQueue,
              CellJournalHooks aHooks);
  CellJournal(const CellJournal&) = delete;
  CellJournal& operator=(const CellJournal&) = delete;
  ~CellJournal();

  // Sends a transaction, or sends the current one again, when it is due.
  void Tick(TimePoint aNow);
  // Writes all pending changes, then marks the owner row as released.
  void Release() { mReleasing = true; }
  bool IsReleased() const { return mReleased; }
  // Sets the highest fitness in the cell, for the next write of the owner row.
  void SetBestFitness(double aFitness) { mOwner.mBestFitness = aFitness; }
  // Notes that all earlier owners have stopped, for the next write of the owner
  // row.
  void SetEarlierOwnersGone() { mOwner.mEarlierOwnersGone = true; }
  // Sets whether all runs that earlier owners started are known, for the next
  // write of the owner row.
  void SetRecovered(bool aRecovered) { mOwner.mRecovered = aRecovered; }
  // Sends a transaction soon, even if no record changes.
  void RequestRenewal() { mRenewalRequested = true; }
  // The sequence number of the newest transaction that was built.
  std::uint64_t BuiltSequence() const { return mOwner.mSequence; }
  // The sequence number of the newest transaction that was applied.
  std::uint64_t AppliedSequence() const
  {
    return mOwner.mSequence - (mInFlight.has_value() ? 1 : 0);
  }
  // When the newest applied transaction was sent.
  TimePoint RenewedAt() const { return mRenewedAt; }
  // Sets the time at which the ownership was claimed, before the first Tick().
  void SetRenewedAt(TimePoint aTime) { mRenewedAt = aTime; }
  // How long the current transaction has been without an answer; zero when
  // there is none.
  Duration OutstandingTime(TimePoint aNow) const
  {
    return mInFlight.has_value() ? aNow - mFirstSentAt : Duration::zero();
  }
  // The expected time between sending a transaction and its answer.
  Duration ExpectedCommitTime() const
  {
    return mTimeoutEstimator.ExpectedRoundTrip();
  }

  RecordingState State(TimePoint aNow) const
  {
    return { .mOutstanding = OutstandingTime(aNow),
             .mCommitTime = ExpectedCommitTime(),
             .mWaitingRecords = mWriteQueue.Waiting(),
             .mMaxRecords = mOptions.mMaxEntries - 1 };
  }

  // The key of the owner row of the shard in this part.
  static RowKey OwnerKey(const std::string& aPart);
  // The key of the row that stores a record.
  static RowKey KeyOf(const jobs::RecordKey& aKey, const std::string& aPart);

private:
  void BuildTransaction();
  void AddRecord(const jobs::RecordKey& aKey);
  void SendTransaction(TimePoint aNow);
  void OnAnswer(std::uint64_t aSequence,
                TimePoint aSentAt,
                const absl::StatusOr<CommitAnswer>& aAnswer);
  void OnApplied(RowVersion aVersion, TimePoint aSentAt);
  void OnConflict(const CommitAnswer& aAnswer);

  CellJournalOptions mOptions;
  OwnerRow mOwner;
  RowVersion mOwnerVersion;
  jobs::RecordWriteQueue& mWriteQueue;
  CellJournalHooks mHooks;
  // The transaction that is being written, kept until it is known to have been
  // applied.
  std::optional<RowTransaction> mInFlight;
  std::string mInFlightOwnerRow;
  std::size_t mBytes = 0;
  TimePoint mFirstSentAt;
  // The number of calls made for the transaction, and how many of them have no
  // answer yet.
  int mAttempts = 0;
  int mOutstandingCalls = 0;
  // When the transaction is sent again if there is no answer.
  TimePoint mResendAt;
  // No call is made before this time, because the store returned an error.
  TimePoint mNextSendAt;
  TimeoutEstimator mTimeoutEstimator;
  TimePoint mRenewedAt;
  std::optional<TimePoint> mBatchStartedAt;
  bool mRenewalRequested = false;
  bool mReleasing = false;
  bool mReleased = false;
  bool mLost = false;
  // Set to false by the destructor, so that callbacks which run later return
  // without using this object.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace oriolevane::cellnode
