#include "cellnode/celljournal.h"

#include <algorithm>
#include <utility>

#include "cellnode/recordcodec.h"
#include "framework/log.h"

namespace oriolevane::cellnode {

namespace {

using namespace std::chrono_literals;

// Pause after the store has refused a transaction.
constexpr std::chrono::milliseconds kRefusedPause = 120ms;
constexpr int kMostOutstanding = 6;

std::string
TableOf(jobs::RecordKind aKind)
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
  return { .mTable = TableOf(aKey.mKind), .mPart = aPart, .mName = aKey.mName };
}

CellJournal::CellJournal(JournalOptions aOptions,
                         OwnerRow aOwner,
                         RowVersion aOwnerVersion,
                         jobs::RecordLog& aLog,
                         JournalHooks aHooks)
  : mOptions(std::move(aOptions))
  , mOwner(std::move(aOwner))
  , mOwnerVersion(aOwnerVersion)
  , mLog(aLog)
  , mHooks(std::move(aHooks))
  , mTimer({ .mLongest = mOptions.mLongestPause })
{
}

CellJournal::~CellJournal()
{
  *mAlive = false;
}

void
CellJournal::Tick(TimePoint aNow)
{
  if (mLost || mReleased || aNow < mNextTry) {
    return;
  }
  if (mInFlight.has_value()) {
    const bool late = aNow >= mLateAt && mOutstanding < kMostOutstanding;
    if (mOutstanding == 0 || late) {
      Send(aNow);
    }
    return;
  }
  if (mLog.HasWaiting() && !mWaitingSince.has_value()) {
    mWaitingSince = aNow;
  }
  const bool gathered =
    mWaitingSince.has_value() && *mWaitingSince + mOptions.mGather <= aNow;
  const bool renewal = mRenewedAt + mOptions.mRenewEvery <= aNow;
  if (gathered || renewal || mReleasing) {
    Build();
    mFirstSentAt = aNow;
    Send(aNow);
  }
}

void
CellJournal::Build()
{
  mWaitingSince.reset();
  mInFlight.emplace();
  mAttempts = 0;
  mOutstanding = 0;
  mBytes = 0;
  ++mOwner.mSequence;
  std::size_t entries = 1;
  // The next owner removes what is left of closed jobs.
  const bool onlyRemovals = mLog.Waiting() == 0;
  while (mLog.HasWaiting() && !(mReleasing && onlyRemovals) &&
         entries < mOptions.mMostEntries && mBytes < mOptions.mMostBytes) {
    for (const jobs::RecordKey& key : mLog.TakeBatch(1)) {
      AddRecord(key);
      ++entries;
    }
  }
  // The last transaction before a release holds nothing else.
  mOwner.mReleased = mReleasing && entries == 1;
  mInFlightOwner = Encode(mOwner);
  const RowKey owner = OwnerKey(mOptions.mPart);
  mInFlight->mConditions.push_back(
    { .mKey = owner, .mVersion = mOwnerVersion });
  mInFlight->mWrites.push_back({ .mKey = owner, .mValue = mInFlightOwner });
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
  mBytes += text.size();
  mInFlight->mWrites.push_back({ .mKey = key, .mValue = std::move(text) });
}

void
CellJournal::Send(TimePoint aNow)
{
  ++mAttempts;
  ++mOutstanding;
  mLateAt = aNow + mTimer.Timeout(mAttempts);
  if (mAttempts > 1) {
    LogInfo("commit_sent_again")
      .With("sequence", mOwner.mSequence)
      .With("attempt", mAttempts)
      .With("outstanding", mOutstanding);
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
    // Another call of that transaction was answered before.
    return;
  }
  --mOutstanding;
  if (!aAnswer.ok()) {
    LogWarning("commit_unanswered")
      .With("sequence", mOwner.mSequence)
      .With("attempt", mAttempts)
      .With("status", aAnswer.status().ToString());
    if (!absl::IsDeadlineExceeded(aAnswer.status())) {
      mNextTry = aSentAt + kRefusedPause;
    }
    return;
  }
  mTimer.OnAnswer(mHooks.mNow() - aSentAt);
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
  if (row != aAnswer.mCurrent.end() && row->mValue == mInFlightOwner) {
    // An earlier attempt was applied though its answer was lost.
    OnApplied(row->mVersion, mFirstSentAt);
    return;
  }
  mLost = true;
  LogWarning("ownership_lost")
    .With("epoch", mOwner.mEpoch)
    .With("sequence", mOwner.mSequence)
    .With("row", row == aAnswer.mCurrent.end() ? "" : row->mValue);
  mHooks.mOnLost();
}

void
CellJournal::OnApplied(RowVersion aVersion, TimePoint aSentAt)
{
  LogDebug("commit_applied")
    .With("sequence", mOwner.mSequence)
    .With("row_version", aVersion);
  mOwnerVersion = aVersion;
  mHooks.mOnWritten(mHooks.mNow() - mFirstSentAt);
  mReleased = mOwner.mReleased;
  mInFlight.reset();
  mRenewedAt = aSentAt;
  ++mCommits;
  mHooks.mOnRecorded(mLog.Confirm());
}

} // namespace oriolevane::cellnode
