#include "cellnode/ownershippolicy.h"

#include <algorithm>
#include <utility>

#include "framework/stablehash.h"

namespace oriolevane::cellnode {

namespace {

// Nodes whose fitness is at least this share of the best count as alike.
constexpr double kAlike = 0.7;

} // namespace

OwnershipPolicy::OwnershipPolicy(OwnershipOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

void
OwnershipPolicy::OnOwnerHeard(Epoch aEpoch, Duration aStoreAge, TimePoint aNow)
{
  if (mRow.has_value() && aEpoch < mRow->mEpoch) {
    return;
  }
  mHeardAt = aNow;
  mStoreAge = aStoreAge;
  if (!WantsRow(aNow)) {
    // The row changes unseen from here on.
    mRowKnown = false;
  }
}

void
OwnershipPolicy::OnOwnerGone(TimePoint)
{
  mHeardAt.reset();
}

void
OwnershipPolicy::OnOwnerDenied(Epoch aEpoch)
{
  mDeniedEpoch = std::max(mDeniedEpoch, aEpoch);
}

void
OwnershipPolicy::OnHandover(Epoch aEpoch)
{
  mHandoverEpoch = std::max(mHandoverEpoch, aEpoch);
  mHeardAt.reset();
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
  mRowKnown = true;
  mRow = aRow;
  mVersion = aVersion;
}

void
OwnershipPolicy::OnReadFailed()
{
  // How long the row has stayed the same is not known any more.
  mRowKnown = false;
}

bool
OwnershipPolicy::WantsRow(TimePoint aNow) const
{
  if (!mHeardAt.has_value() || *mHeardAt + mOptions.mSilence <= aNow) {
    return true;
  }
  return mStoreAge >= mOptions.mStoreSilence;
}

Duration
OwnershipPolicy::Delay() const
{
  const std::uint64_t epoch = mRow.has_value() ? mRow->mEpoch.mValue : 0;
  const std::uint64_t hash = StableHash(mOptions.mNode.mValue, epoch);
  constexpr std::uint64_t kSteps = 1024;
  const Duration turn = mOptions.mSpread * (hash % kSteps) / kSteps;
  const double relative = mOptions.mFitness / std::max(mBestFitness, 0.01);
  if (relative >= kAlike) {
    return turn;
  }
  return turn + std::chrono::duration_cast<Duration>(mOptions.mUnfitWait *
                                                     (1.0 - relative));
}

std::optional<RowVersion>
OwnershipPolicy::WantsOwnership(TimePoint aNow) const
{
  if (!mRowKnown || !WantsRow(aNow)) {
    return std::nullopt;
  }
  Duration wait = Delay();
  if (mRow.has_value()) {
    const bool vacant = mRow->mReleased || mDeniedEpoch >= mRow->mEpoch;
    if (mHandoverEpoch >= mRow->mEpoch && mRow->mReleased) {
      wait = Duration::zero();
    } else if (!vacant) {
      wait += std::max<Duration>(mOptions.mUnchanged,
                                 mOptions.mUnchangedRoundTrips * mRoundTrip);
    }
  }
  if (mUnchangedSince + wait > aNow) {
    return std::nullopt;
  }
  return mVersion;
}

} // namespace oriolevane::cellnode
