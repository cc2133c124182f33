// Writes the changed records of a shard to the store, as one transaction after
// another. Each is conditional on the owner row as the one before left it, so
// that a transaction whose answer is late can be sent again beside it, is
// applied once, and can never be applied after a later one.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cellnode/responsetimer.h"
#include "cellnode/types/ownerrow.h"
#include "cellnode/types/rows.h"
#include "jobs/cellscheduler.h"

namespace oriolevane::cellnode {

// Part of the store that holds all rows of the shard.
inline const std::string kShardPart = "s0";

struct JournalOptions
{
  // Part of the store that holds the shard.
  std::string mPart = kShardPart;
  // Entries of one transaction, the owner row included.
  std::size_t mMostEntries = 98;
  // Transactions stay under this size.
  std::size_t mMostBytes = 600000;
  // Changes wait so long for others, to save calls.
  std::chrono::milliseconds mGather{ 10 };
  // The owner row is renewed this often when nothing changes.
  std::chrono::milliseconds mRenewEvery{ 300 };
  // A call without an answer is given up after this.
  std::chrono::milliseconds mCallTimeout{ 3000 };
  // The longest pause before a transaction is sent again.
  std::chrono::milliseconds mLongestPause{ 800 };
};

struct JournalHooks
{
  std::function<void(const RowTransaction&,
                     Duration aTimeout,
                     std::function<void(absl::StatusOr<CommitAnswer>)>)>
    mCommit;
  // What a record is now; monostate removes it.
  std::function<jobs::RecordValue(const jobs::RecordKey&)> mValueOf;
  // Changes up to this position are written.
  std::function<void(jobs::RecordPosition)> mOnRecorded;
  // Another node owns the shard.
  std::function<void()> mOnLost;
  std::function<TimePoint()> mNow;
  // A transaction took so long, from its first call to the answer.
  std::function<void(Duration)> mOnWritten;
};

// Single-threaded; the owner calls Tick() every few milliseconds.
class CellJournal
{
public:
  CellJournal(JournalOptions aOptions,
              OwnerRow aOwner,
              RowVersion aOwnerVersion,
              jobs::RecordLog& aLog,
              JournalHooks aHooks);
  CellJournal(const CellJournal&) = delete;
  CellJournal& operator=(const CellJournal&) = delete;
  ~CellJournal();

  // Sends a transaction when one is due.
  void Tick(TimePoint aNow);
  // Writes what has changed, and then that the owner has stopped.
  void Release() { mReleasing = true; }
  bool IsReleased() const { return mReleased; }
  // When the newest transaction that was applied was sent.
  TimePoint RenewedAt() const { return mRenewedAt; }
  void SetRenewedAt(TimePoint aTime) { mRenewedAt = aTime; }
  std::uint64_t Commits() const { return mCommits; }
  // How long the transaction in flight has been without an answer.
  Duration Outstanding(TimePoint aNow) const
  {
    return mInFlight.has_value() ? aNow - mFirstSentAt : Duration::zero();
  }
  // A usual time between sending a transaction and its answer.
  Duration ExpectedWrite() const { return mTimer.Expected(); }

  static RowKey OwnerKey(const std::string& aPart);
  static RowKey KeyOf(const jobs::RecordKey& aKey, const std::string& aPart);

private:
  void Build();
  void AddRecord(const jobs::RecordKey& aKey);
  void Send(TimePoint aNow);
  void OnAnswer(std::uint64_t aSequence,
                TimePoint aSentAt,
                const absl::StatusOr<CommitAnswer>& aAnswer);
  void OnApplied(RowVersion aVersion, TimePoint aSentAt);
  void OnConflict(const CommitAnswer& aAnswer);

  JournalOptions mOptions;
  OwnerRow mOwner;
  RowVersion mOwnerVersion;
  jobs::RecordLog& mLog;
  JournalHooks mHooks;
  // The transaction that is being written, kept until it is known to be
  // applied.
  std::optional<RowTransaction> mInFlight;
  std::string mInFlightOwner;
  std::size_t mBytes = 0;
  TimePoint mFirstSentAt;
  // Calls of the transaction, and those of them that have no answer.
  int mAttempts = 0;
  int mOutstanding = 0;
  // The newest call is late from then on.
  TimePoint mLateAt;
  // The store has refused; nothing is sent before.
  TimePoint mNextTry;
  ResponseTimer mTimer;
  TimePoint mRenewedAt;
  std::optional<TimePoint> mWaitingSince;
  bool mReleasing = false;
  bool mReleased = false;
  bool mLost = false;
  std::uint64_t mCommits = 0;
  // Lets answers that come after the end find out.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace oriolevane::cellnode
