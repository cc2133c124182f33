#include "membership/membershiploop.h"

#include <algorithm>
#include <utility>

#include "framework/log.h"
#include "membership/internal/viewreader.h"
#include "membership/rowcodec.h"

namespace oriolevane::membership {

namespace {

// How much more often a node reads that expects to be handed rows.
constexpr int kEagerness = 4;

// How many missed reads in a row still count towards the expiry of others.
constexpr int kCountedReadIntervals = 2;

} // namespace

MembershipLoop::MembershipLoop(MembershipOptions aOptions,
                               store::TableHooks aTable,
                               MembershipHooks aHooks,
                               std::function<TimePoint()> aClock)
  : mOptions(std::move(aOptions))
  , mTable(std::move(aTable))
  , mHooks(std::move(aHooks))
  , mClock(std::move(aClock))
  , mPlanner(mOptions.mPlanner)
  , mSelf{ .mNode = mOptions.mPlanner.mNode,
           .mIncarnation = mOptions.mPlanner.mIncarnation,
           .mAddress = mOptions.mAddress,
           .mZone = mOptions.mZone }
{
}

TimePoint
MembershipLoop::Step()
{
  RenewWhenDue();
  if (mClock() >= mNextRead) {
    Round();
  }
  return mSuperseded ? mNextRead : std::min(mNextRead, mNextRenewal);
}

void
MembershipLoop::Release(const RowRef& aRow)
{
  mPlanner.Release(aRow);
  ReadSoon();
}

void
MembershipLoop::Leave()
{
  mLeaving = true;
  mSelf.mLeaving = true;
  const bool alone = mMembers.size() <= 1;
  const TimePoint now = mClock();
  mPlanner.Leave(alone ? now : now + ReadInterval());
  mNextRenewal = now;
  ReadSoon();
}

void
MembershipLoop::SetDrained(std::set<NodeId> aNodes)
{
  mPlanner.SetDrained(std::move(aNodes));
}

void
MembershipLoop::ReadSoon()
{
  mNextRead =
    std::min<TimePoint>(mNextRead, mLastRead + mOptions.mRetryInterval);
}

void
MembershipLoop::SignOff()
{
  if (!mSelfVersionKnown || mSelfVersion == 0 || !mPlanner.OwnsNothing()) {
    return;
  }
  const std::string key = NodeRowKey(mSelf.mNode);
  const auto result =
    mTable.mCommit({ .mConditions = { { key, mSelfVersion } },
                     .mMutations = { { key, std::nullopt } } });
  if (!result.ok()) {
    LogWarning("sign_off_failed").With("error", result.status().ToString());
  }
}

void
MembershipLoop::RenewWhenDue()
{
  if (!mSuperseded && mClock() >= mNextRenewal) {
    mNextRenewal = mClock() + mOptions.mRenewInterval;
    Renew();
  }
}

void
MembershipLoop::Renew()
{
  if (!mSelfVersionKnown) {
    RenewAfterRefusal();
    if (!mSelfVersionKnown || mSuperseded) {
      return;
    }
  }
  ++mSelf.mRenewals;
  const std::string key = NodeRowKey(mSelf.mNode);
  const auto result =
    mTable.mCommit({ .mConditions = { { key, mSelfVersion } },
                     .mMutations = { { key, EncodeNodeRow(mSelf) } } });
  if (result.ok()) {
    mSelfVersion = result->VersionOf(key);
    mRegistered = true;
    mRenewalFails = false;
    return;
  }
  mRenewalFails = true;
  if (!absl::IsUnavailable(result.status())) {
    mSelfVersionKnown = false;
  }
  mNextRenewal = mClock() + mOptions.mRetryInterval;
}

// Learns the version of the own row, and whether the row is still this
// process's.
void
MembershipLoop::RenewAfterRefusal()
{
  const std::string key = NodeRowKey(mSelf.mNode);
  const auto row = mTable.mRead(key);
  if (!row.ok()) {
    mRenewalFails = true;
    mNextRenewal = mClock() + mOptions.mRetryInterval;
    return;
  }
  const auto content = ParseNodeRow(key, row->mValue);
  const bool another = row->Exists() && content.ok() &&
                       content->mIncarnation != mSelf.mIncarnation;
  if (another && mRegistered) {
    mSuperseded = true;
    LogError("node_superseded").With("node", mSelf.mNode);
    if (mHooks.mOnSuperseded) {
      mHooks.mOnSuperseded();
    }
    return;
  }
  if (row->Exists() && content.ok() && !another) {
    mRegistered = true;
  }
  mSelfVersion = row->mVersion;
  mSelfVersionKnown = true;
}

void
MembershipLoop::Round()
{
  const TimePoint start = mClock();
  const auto view = ReadMembershipRows(mTable, [this] { RenewWhenDue(); });
  const TimePoint end = mClock();
  mLastRead = end;
  if (!view.ok()) {
    mNextRead = end + mOptions.mRetryInterval;
    LogWarning("membership_read_failed")
      .With("error", view.status().ToString());
    return;
  }
  mRowsInView = view->mNodes.size() + view->mOwnership.size();
  const auto mostGap = std::chrono::duration_cast<std::chrono::milliseconds>(
    kCountedReadIntervals *
    std::max<Duration>(ReadInterval(), mOptions.mRetryInterval));
  const Plan plan =
    mPlanner.Next(*view,
                  mRegistered && !mRenewalFails,
                  { .mStart = start, .mEnd = end, .mMostCountedGap = mostGap });
  mNextRead = end + (plan.mExpectsRows ? EagerInterval() : ReadInterval());
  Tell(plan);
  if (mRegistered && !mRenewalFails && mHooks.mOnConfirmed) {
    mHooks.mOnConfirmed();
  }
  Carry(plan);
}

void
MembershipLoop::Carry(const Plan& aPlan)
{
  CommitAll(aPlan.mTakeovers);
  CommitAll(aPlan.mReleases);
  CommitAll(aPlan.mRemovals);
  if (!aPlan.mTakeovers.empty()) {
    mNextRead = mClock();
  } else if (!aPlan.mReleases.empty() || aPlan.mTakeoversWithheld) {
    mNextRead = mClock() + mOptions.mRetryInterval;
  }
}

void
MembershipLoop::Tell(const Plan& aPlan)
{
  for (const DeposedRow& row : aPlan.mDeposed) {
    LogWarning("row_lost")
      .With("row", OwnershipRowKey(row.mRow))
      .With("epoch", row.mEpoch);
    if (mHooks.mOnDeposed) {
      mHooks.mOnDeposed(row);
    }
  }
  for (const AcquiredRow& row : aPlan.mAcquired) {
    LogInfo("row_acquired")
      .With("row", OwnershipRowKey(row.mRow))
      .With("epoch", row.mEpoch);
    if (mHooks.mOnAcquired) {
      mHooks.mOnAcquired(row);
    }
  }
  for (const RowRef& row : aPlan.mHandOver) {
    LogInfo("row_hand_over").With("row", OwnershipRowKey(row));
    if (mHooks.mOnHandOver) {
      mHooks.mOnHandOver(row);
    }
  }
  if (mMembers != aPlan.mMembers) {
    mMembers = aPlan.mMembers;
    if (mHooks.mOnMembers) {
      mHooks.mOnMembers(mMembers);
    }
  }
  if (mLeaving && mPlanner.OwnsNothing() && !std::exchange(mLeftTold, true) &&
      mHooks.mOnLeft) {
    mHooks.mOnLeft();
  }
}

// A refused or lost write needs no care here: the next read shows what holds.
void
MembershipLoop::CommitAll(const std::vector<store::Transaction>& aTransactions)
{
  for (const store::Transaction& transaction : aTransactions) {
    const auto result = mTable.mCommit(transaction);
    RenewWhenDue();
    if (!result.ok() && !absl::IsAborted(result.status())) {
      return;
    }
  }
}

Duration
MembershipLoop::ReadInterval() const
{
  const double rows =
    static_cast<double>(mRowsInView) * static_cast<double>(mMembers.size());
  const std::chrono::duration<double> needed(rows / mOptions.mRowReadBudget);
  return std::max<Duration>(mOptions.mReadInterval,
                            std::chrono::duration_cast<Duration>(needed));
}

Duration
MembershipLoop::EagerInterval() const
{
  const Duration usual = ReadInterval();
  return std::min(
    usual, std::max<Duration>(mOptions.mRetryInterval, usual / kEagerness));
}

} // namespace oriolevane::membership
