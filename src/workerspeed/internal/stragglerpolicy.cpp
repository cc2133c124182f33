#include "workerspeed/stragglerpolicy.h"

namespace oriolevane::workerspeed {

namespace {

// Runs within this multiple of the expected time are ordinary: tasks of one
// step differ by less than a third.
constexpr double kStragglerFactor = 1.6;
// A stopped run without checkpoints loses its work, so it must be clearer that
// the run is a straggler.
constexpr double kFactorWithoutCheckpoints = 1.9;
constexpr int kMinOutcomes = 5;
constexpr double kOutcomeWeight = 0.1;
constexpr double kMinHelpedShare = 0.5;
// While moving does not help, one run of this many is moved nevertheless, to
// notice when that changes.
constexpr int kProbeInterval = 20;

} // namespace

bool
StragglerPolicy::ShouldMove(const RunTiming& aRun) const
{
  const double factor =
    aRun.mCheckpointing ? kStragglerFactor : kFactorWithoutCheckpoints;
  if (aRun.mExpected <= Duration::zero() ||
      std::chrono::duration<double>(aRun.mElapsed) <
        factor * std::chrono::duration<double>(aRun.mExpected)) {
    return false;
  }
  // Run times with a heavy tail: a run that has lasted for long is expected to
  // last for as long again.
  if (aRun.mElapsed <= aRun.mExpectedElsewhere + aRun.mStopTime) {
    return false;
  }
  if (mOutcomes < kMinOutcomes || mHelpedShare >= kMinHelpedShare) {
    return true;
  }
  return ++mSkipped % kProbeInterval == 0;
}

void
StragglerPolicy::RecordOutcome(bool aHelped)
{
  ++mOutcomes;
  mHelpedShare += kOutcomeWeight * ((aHelped ? 1.0 : 0.0) - mHelpedShare);
}

} // namespace oriolevane::workerspeed
