#include "cellnode/ownershippolicy.h"

#include <algorithm>
#include <utility>

#include "framework/stablehash.h"

namespace oriolevane::cellnode {

namespace {

// Nodes whose fitness is at least this fraction of the highest one have no
// additional delay.
constexpr double kSimilarFitnessRatio = 0.7;

} // namespace

OwnershipPolicy::OwnershipPolicy(OwnershipOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

void
OwnershipPolicy::OnOwnerContact(Epoch aEpoch,
                                Duration aStoreAge,
                                TimePoint aNow)
{
  if (mRow.has_value() && aEpoch < mRow->mEpoch) {
    return;
  }
  NoteEpoch(aEpoch, aNow);
  mLastContactAt = aNow;
  mContactEpoch = aEpoch;
  mStoreAge = aStoreAge;
  if (!ShouldReadRow(aNow)) {
    // The row is not read any more, so it may change unnoticed.
    mRowKnown = false;
  }
}

bool
OwnershipPolicy::HasLasted(TimePoint aNow) const
{
  return mNewestEpochSeenAt + Duration(mOptions.mMinOwnership) <= aNow;
}

int
OwnershipPolicy::TimeoutFactor(TimePoint aNow) const
{
  return HasLasted(aNow) ? 1 : mTimeoutFactor;
}

void
OwnershipPolicy::NoteEpoch(Epoch aEpoch, TimePoint aNow)
{
  if (aEpoch <= mNewestEpoch) {
    return;
  }
  mTimeoutFactor = TimeoutFactor(aNow);
  if (!HasLasted(aNow) && mNewestEpoch != Epoch() &&
      mLastContactAt.has_value()) {
    mTimeoutFactor = std::min(2 * mTimeoutFactor, mOptions.mMaxTimeoutFactor);
  }
  mNewestEpoch = aEpoch;
  mNewestEpochSeenAt = aNow;
}

void
OwnershipPolicy::OnOwnerDisconnected(TimePoint)
{
  mLastContactAt.reset();
}

void
OwnershipPolicy::OnOwnershipDenied(Epoch aEpoch)
{
  mDeniedEpoch = std::max(mDeniedEpoch, aEpoch);
}

void
OwnershipPolicy::OnHandover(Epoch aEpoch)
{
  mHandoverEpoch = std::max(mHandoverEpoch, aEpoch);
  mLastContactAt.reset();
}

void
OwnershipPolicy::OnRowRead(const std::optional<OwnerRow>& aRow,
                           RowVersion aVersion,
                           TimePoint aNow,
                           Duration aRoundTrip)
{
  mRoundTrip = aRoundTrip;
  if (!mRowKnown || aVersion != mVersion) {
    mUnchangedSince = aNow;
  }
  if (aRow.has_value()) {
    NoteEpoch(aRow->mEpoch, aNow);
  }
  mRowKnown = true;
  mRow = aRow;
  mVersion = aVersion;
}

void
OwnershipPolicy::OnReadFailed()
{
  // It is no longer known how long the row has stayed unchanged.
  mRowKnown = false;
}

bool
OwnershipPolicy::IsOverdue(Duration aSilence,
                           Duration aStoreAge,
                           TimePoint aNow) const
{
  return !mLastContactAt.has_value() || *mLastContactAt + aSilence <= aNow ||
         mStoreAge >= aStoreAge;
}

bool
OwnershipPolicy::ShouldReadRow(TimePoint aNow) const
{
  return IsOverdue(
    mOptions.mReadRowAfter, mOptions.mReadRowAfterStoreAge, aNow);
}

bool
OwnershipPolicy::OwnedByFormerProcess() const
{
  return mRow.has_value() && mRow->mNode == mOptions.mNode &&
         mRow->mIncarnation != mOptions.mIncarnation;
}

Duration
OwnershipPolicy::Stagger() const
{
  const std::uint64_t epoch = mRow.has_value() ? mRow->mEpoch.mValue : 0;
  const std::uint64_t hash = StableHash(mOptions.mNode.mValue, epoch);
  constexpr std::uint64_t kSteps = 1024;
  return mOptions.mMaxStagger * (hash % kSteps) / kSteps;
}

Duration
OwnershipPolicy::UnfitDelay(double aBestFitness) const
{
  const double relative = mOptions.mFitness / std::max(aBestFitness, 0.01);
  if (relative >= kSimilarFitnessRatio) {
    return Duration::zero();
  }
  return std::chrono::duration_cast<Duration>(mOptions.mMaxUnfitDelay *
                                              (1.0 - relative));
}

std::optional<RowVersion>
OwnershipPolicy::VersionToClaim(TimePoint aNow) const
{
  const int factor = TimeoutFactor(aNow);
  if (!mRowKnown || !IsOverdue(factor * mOptions.mHeartbeatTimeout,
                               factor * mOptions.mStoreWriteTimeout,
                               aNow)) {
    return std::nullopt;
  }
  Duration wait = Stagger() + UnfitDelay(mBestFitness);
  if (mRow.has_value()) {
    const bool vacant = mRow->mReleased || mDeniedEpoch >= mRow->mEpoch;
    if (mHandoverEpoch >= mRow->mEpoch && mRow->mReleased) {
      wait = Duration::zero();
    } else if (OwnedByFormerProcess()) {
      // The others find out later that the owner has stopped. After a restart,
      // only the row tells how fit they are.
      wait = UnfitDelay(mRow->mBestFitness);
    } else if (!vacant) {
      const bool unheard = mRow->mSequence == 0 && mContactEpoch < mRow->mEpoch;
      wait += std::max<Duration>(unheard ? mOptions.mMinUnchangedUnheard
                                         : mOptions.mMinUnchanged,
                                 mOptions.mMinUnchangedRoundTrips * mRoundTrip);
    }
  }
  if (mUnchangedSince + wait > aNow) {
    return std::nullopt;
  }
  return mVersion;
}

} // namespace oriolevane::cellnode
