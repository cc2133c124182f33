#include "cellnode/internal/shardclaimer.h"

#include <algorithm>
#include <utility>

#include "cellnode/celljournal.h"
#include "cellnode/internal/predecessor.h"
#include "cellnode/recordcodec.h"
#include "framework/log.h"
#include "framework/steadynow.h"

namespace oriolevane::cellnode {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds kReadInterval = 150ms;
constexpr std::chrono::milliseconds kReadTimeout = 2000ms;
constexpr std::chrono::milliseconds kClaimTimeout = 900ms;

std::int64_t
ToMillis(Duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

} // namespace

ShardClaimer::ShardClaimer(const NodeOptions& aOptions,
                           const RowStoreHooks& aStore,
                           OwnershipPolicy& aPolicy,
                           ShardClaimerHooks aHooks)
  : mOptions(aOptions)
  , mStore(aStore)
  , mPolicy(aPolicy)
  , mHooks(std::move(aHooks))
{
}

ShardClaimer::~ShardClaimer()
{
  *mAlive = false;
}

void
ShardClaimer::Advance(TimePoint aNow)
{
  if (mPolicy.ShouldReadRow(aNow)) {
    Read(aNow);
  }
  if (const auto version = mPolicy.VersionToClaim(aNow); version.has_value()) {
    Claim(*version, aNow);
  }
}

bool
ShardClaimer::IsOwnRow(const OwnerRow& aRow) const
{
  return aRow.mNode == mOptions.mNode &&
         aRow.mIncarnation == mOptions.mIncarnation;
}

void
ShardClaimer::Read(TimePoint aNow)
{
  if (mReading || mClaiming || aNow < mNextRead) {
    return;
  }
  mReading = true;
  mNextRead = aNow + kReadInterval;
  mStore.mRead(
    { .mTable = CellJournal::OwnerKey(kShardPart).mTable,
      .mPart = kShardPart,
      .mFrom = "" },
    kReadTimeout,
    [this, alive = mAlive, aNow](const absl::StatusOr<RowPage>& aPage) {
      if (*alive) {
        mReading = false;
        OnPage(aPage, aNow);
      }
    });
}

void
ShardClaimer::OnPage(const absl::StatusOr<RowPage>& aPage, TimePoint aSentAt)
{
  const TimePoint now = SteadyNow();
  if (!aPage.ok()) {
    LogWarning("owner_row_read_failed")
      .With("status", aPage.status().ToString());
    mPolicy.OnReadFailed();
    return;
  }
  if (aPage->mRows.empty()) {
    mPolicy.OnRowRead(std::nullopt, RowVersion(), now, now - aSentAt);
    return;
  }
  const Row& row = aPage->mRows.front();
  const absl::StatusOr<OwnerRow> owner = DecodeOwner(row.mValue);
  if (!owner.ok()) {
    LogError("owner_row_unreadable").With("status", owner.status().ToString());
    mPolicy.OnReadFailed();
    return;
  }
  mPolicy.OnRowRead(*owner, row.mVersion, now, now - aSentAt);
  if (!IsOwnRow(*owner) || owner->mReleased) {
    mHooks.mOnOwnerRow(*owner);
    return;
  }
  // An earlier claim of this process was applied but its answer was lost.
  if (owner->mEpoch > mHooks.mHighestEpoch()) {
    mHooks.mOnClaimed({ .mRow = *owner,
                        .mVersion = row.mVersion,
                        .mOwnedSince = mClaimedAt,
                        .mPredecessor = mPredecessor });
  }
}

void
ShardClaimer::Claim(RowVersion aVersion, TimePoint aNow)
{
  if (mClaiming) {
    return;
  }
  mClaiming = true;
  mPredecessor = mPolicy.Row();
  const Epoch before =
    mPredecessor.has_value() ? mPredecessor->mEpoch : Epoch();
  const OwnerRow row{
    .mEpoch = Epoch(std::max(before, mHooks.mHighestEpoch()).mValue + 1),
    .mNode = mOptions.mNode,
    .mIncarnation = mOptions.mIncarnation,
    .mAddress = mOptions.mPeerAddress,
    .mSequence = 0,
    .mReleased = false,
    .mBestFitness = mPredecessor.has_value() ? mPredecessor->mBestFitness
                                             : mPolicy.BestFitness(),
    .mEarlierOwnersGone = HaveAllStopped(mPredecessor)
  };
  LogInfo("taking_over")
    .With("epoch", row.mEpoch)
    .With("from", mPredecessor.has_value() ? mPredecessor->mNode.mValue : "")
    .With("row_version", aVersion)
    .With("owner_silent_ms", ToMillis(mPolicy.OwnerSilence(aNow)))
    .With("owner_store_age_ms", ToMillis(mPolicy.OwnerStoreAge()));
  if (row.mEpoch != mClaimedEpoch) {
    mClaimedEpoch = row.mEpoch;
    mClaimedAt = aNow;
  }
  const RowKey key = CellJournal::OwnerKey(kShardPart);
  mStore.mCommit({ .mConditions = { { .mKey = key, .mVersion = aVersion } },
                   .mWrites = { { .mKey = key, .mValue = Encode(row) } },
                   .mRemovals = {} },
                 kClaimTimeout,
                 [this, alive = mAlive, row, aNow](
                   const absl::StatusOr<CommitAnswer>& aAnswer) {
                   if (!*alive) {
                     return;
                   }
                   mClaiming = false;
                   if (aAnswer.ok() && aAnswer->mApplied) {
                     mHooks.mOnClaimed({ .mRow = row,
                                         .mVersion = aAnswer->mVersion,
                                         .mOwnedSince = aNow,
                                         .mPredecessor = mPredecessor });
                     return;
                   }
                   LogInfo("take_over_failed")
                     .With("epoch", row.mEpoch)
                     .With("status", aAnswer.status().ToString());
                   mPolicy.OnReadFailed();
                   ReadSoon();
                 });
}

} // namespace oriolevane::cellnode
