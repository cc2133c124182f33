#include "jobs/tests/fakeworker.h"

#include <algorithm>
#include <utility>

namespace oriolevane::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Millis kLongestLease = 6000ms;

// Returns the checkpoint of a stopped run: its run time so far in milliseconds.
// Empty if the run saves none.
std::string
CheckpointOf(const FakeRun& aRun)
{
  if (!aRun.mPlan.mSavesCheckpoint || !aRun.mStopping) {
    return {};
  }
  const Millis worked =
    aRun.mSavedProgress + aRun.mStopRequestedAt - aRun.mStartedAt;
  return std::to_string(worked.count());
}

} // namespace

int
FakeRun::Percent(Millis aNow) const
{
  constexpr int kComplete = 100;
  const Millis done = aNow - mStartedAt + mSavedProgress;
  return static_cast<int>(std::clamp<std::int64_t>(
    kComplete * done / std::max(mPlan.mDuration, Millis(1)), 0, kComplete));
}

FakeWorker::FakeWorker(WorkerEntry aEntry,
                       Millis aClockOffset,
                       FakeWorkerHooks aHooks)
  : mEntry(std::move(aEntry))
  , mClockOffset(aClockOffset)
  , mHooks(std::move(aHooks))
{
}

Resources
FakeWorker::Used() const
{
  Resources used;
  for (const FakeRun& run : mRuns) {
    used += run.mResources;
  }
  return used;
}

bool
FakeWorker::IsDone(FakeRun& aRun, Millis aNow) const
{
  if (aRun.mStopping || aRun.mExpiredAt.has_value()) {
    return false;
  }
  if (aNow < aRun.End()) {
    return false;
  }
  if (mHooks.mGangSize(aRun.mTask) == 1) {
    return true;
  }
  if (!aRun.mGangEnd.has_value()) {
    aRun.mGangEnd = mHooks.mGangEnd(aRun);
  }
  return aRun.mGangEnd.has_value() && aNow >= *aRun.mGangEnd;
}

bool
FakeWorker::IsExpired(FakeRun& aRun, Millis aNow) const
{
  if (!aRun.mExpiredAt.has_value() && HasLeaseExpired(aNow)) {
    aRun.mExpiredAt = aNow;
  }
  return aRun.mExpiredAt.has_value() &&
         aNow >= *aRun.mExpiredAt + aRun.mPlan.mExpiryTime;
}

bool
FakeWorker::IsCrashDue(Millis aNow) const
{
  return std::any_of(mRuns.begin(), mRuns.end(), [aNow](const FakeRun& aRun) {
    return aRun.mPlan.mCrashesWorkerAfter.has_value() &&
           aNow >= aRun.mStartedAt + *aRun.mPlan.mCrashesWorkerAfter;
  });
}

void
FakeWorker::ExtendLease(Millis aLeaseEnd, Millis aNow)
{
  mLeaseEnd =
    std::max(mLeaseEnd, std::min(aLeaseEnd, Clock(aNow) + kLongestLease));
}

void
FakeWorker::EndRun(std::size_t aRunIndex, EndKind aKind)
{
  const FakeRun run = mRuns[aRunIndex];
  mRuns.erase(mRuns.begin() + static_cast<std::ptrdiff_t>(aRunIndex));
  mUnconfirmedEnds.push_back({ .mSerial = ++mLastSerial,
                               .mTask = run.mTask,
                               .mRun = run.mRun,
                               .mKind = aKind,
                               .mCheckpoint = CheckpointOf(run) });
  RunNumber& highest = mHighestEndedRun[run.mTask];
  highest = std::max(highest, run.mRun);
  mHooks.mOnEnd(run, aKind);
}

void
FakeWorker::AdvanceTo(Millis aNow)
{
  if (!mUp || IsPaused()) {
    return;
  }
  if (mHooks.mOnCrash && IsCrashDue(aNow)) {
    mHooks.mOnCrash();
    return;
  }
  for (std::size_t runIndex = 0; runIndex < mRuns.size();) {
    FakeRun& run = mRuns[runIndex];
    const std::size_t before = mRuns.size();
    if (IsExpired(run, aNow)) {
      EndRun(runIndex, EndKind::LeaseExpired);
    } else if (run.mStopping &&
               aNow >= run.mStopRequestedAt + run.mPlan.mStopTime) {
      EndRun(runIndex, EndKind::Stopped);
    } else if (IsDone(run, aNow)) {
      EndRun(runIndex, run.mPlan.mFails ? EndKind::Failed : EndKind::Succeeded);
    }
    // Ending a member of a gang also ends the other members on this worker, so
    // the scan starts over.
    runIndex = mRuns.size() < before ? 0 : runIndex + 1;
  }
}

void
FakeWorker::EndGangMember(const TaskKey& aTask,
                          RunNumber aRun,
                          EndKind aKind,
                          Millis aNow)
{
  if (IsPaused()) {
    mMissedGangEnds.emplace_back(
      [=, this] { EndGangMember(aTask, aRun, aKind, aNow); });
    return;
  }
  for (std::size_t runIndex = 0; runIndex < mRuns.size(); ++runIndex) {
    if (mRuns[runIndex].mTask == aTask && mRuns[runIndex].mRun == aRun) {
      EndRun(runIndex, aKind);
      return;
    }
  }
}

OrderAnswer
FakeWorker::Start(const StartOrder& aOrder, Millis aNow)
{
  AdvanceTo(aNow);
  const auto answer = [&](OrderResult aResult) {
    return OrderAnswer{ .mResult = aResult, .mNow = Clock(aNow) };
  };
  if (aOrder.mToken < mHighestToken) {
    return answer(OrderResult::Fenced);
  }
  mHighestToken = aOrder.mToken;
  const bool alreadyRunning =
    std::any_of(mRuns.begin(), mRuns.end(), [&](const FakeRun& aRun) {
      return aRun.mTask == aOrder.mTask && aRun.mRun == aOrder.mRun;
    });
  if (alreadyRunning) {
    return answer(OrderResult::Done);
  }
  if (aOrder.mRun <= mHighestEndedRun[aOrder.mTask]) {
    return answer(OrderResult::RunTooOld);
  }
  if (aOrder.mLeaseEnd <= Clock(aNow)) {
    return answer(OrderResult::TooLate);
  }
  ExtendLease(aOrder.mLeaseEnd, aNow);
  mRuns.push_back(
    { .mTask = aOrder.mTask,
      .mRun = aOrder.mRun,
      .mResources = mHooks.mResources(aOrder.mTask),
      .mStartedAt = aNow,
      .mSavedProgress =
        Millis(aOrder.mCheckpoint.empty() ? 0 : std::stoll(aOrder.mCheckpoint)),
      .mPlan = mHooks.mPlan(aOrder.mTask, aOrder.mRun, mEntry.mId) });
  mHooks.mOnStart(mRuns.back());
  return answer(OrderResult::Done);
}

OrderAnswer
FakeWorker::Stop(const StopOrder& aOrder, Millis aNow)
{
  AdvanceTo(aNow);
  if (aOrder.mToken < mHighestToken) {
    return { .mResult = OrderResult::Fenced, .mNow = Clock(aNow) };
  }
  mHighestToken = aOrder.mToken;
  RunNumber& highest = mHighestEndedRun[aOrder.mTask];
  highest = std::max(highest, aOrder.mRun);
  for (FakeRun& run : mRuns) {
    if (run.mTask == aOrder.mTask && run.mRun <= aOrder.mRun &&
        !run.mStopping) {
      run.mStopping = true;
      run.mStopRequestedAt = aNow;
    }
  }
  return { .mResult = OrderResult::Done, .mNow = Clock(aNow) };
}

PollAnswer
FakeWorker::Poll(const PollOrder& aOrder, Millis aNow)
{
  if (!Accepts(aOrder.mToken)) {
    return { .mResult = OrderResult::Fenced };
  }
  return AnswerPoll(aOrder, aNow);
}

PollAnswer
FakeWorker::AnswerPoll(const PollOrder& aOrder, Millis aNow)
{
  AdvanceTo(aNow);
  mHighestToken = std::max(mHighestToken, aOrder.mToken);
  if (aOrder.mLeaseEnd.has_value()) {
    ExtendLease(*aOrder.mLeaseEnd, aNow);
  }
  while (!mUnconfirmedEnds.empty() &&
         mUnconfirmedEnds.front().mSerial <= aOrder.mConfirmedEndSerial) {
    mHooks.mOnConfirmed(mUnconfirmedEnds.front());
    mUnconfirmedEnds.erase(mUnconfirmedEnds.begin());
  }
  PollAnswer answer{ .mResult = OrderResult::Done };
  answer.mReport.mNow = Clock(aNow);
  answer.mReport.mIncarnation = mEntry.mIncarnation;
  answer.mReport.mEnded = mUnconfirmedEnds;
  for (const FakeRun& run : mRuns) {
    if (run.mStopping && !run.mPlan.mListedWhileStopping) {
      continue;
    }
    answer.mReport.mRunning.push_back({ .mTask = run.mTask,
                                        .mRun = run.mRun,
                                        .mCheckpoint = {},
                                        .mPercent = run.Percent(aNow) });
  }
  return answer;
}

void
FakeWorker::Crash()
{
  mUp = false;
  mRuns.clear();
  mPausedAt.reset();
  mMissedGangEnds.clear();
}

void
FakeWorker::Resume(Millis aNow)
{
  const Millis pause = aNow - mPausedAt.value_or(aNow);
  mPausedAt.reset();
  while (HasLeaseExpired(aNow) && !mRuns.empty()) {
    EndRun(0, EndKind::LeaseExpired);
  }
  for (FakeRun& run : mRuns) {
    run.mStartedAt += pause;
    run.mStopRequestedAt += pause;
  }
  for (const auto& end : std::exchange(mMissedGangEnds, {})) {
    end();
  }
}

void
FakeWorker::ForgetGangEnds()
{
  for (FakeRun& run : mRuns) {
    run.mGangEnd.reset();
  }
}

void
FakeWorker::Restart(WorkerIncarnation aLife, Millis aNow)
{
  mUp = true;
  mPausedAt.reset();
  mMissedGangEnds.clear();
  mEntry.mIncarnation = aLife;
  mEntry.mDraining = false;
  mEntry.mLeavesIn.reset();
  mClockOffset = -aNow;
  mHighestToken = {};
  mLeaseEnd = Millis(0);
  mRuns.clear();
  mUnconfirmedEnds.clear();
  mLastSerial = 0;
  mHighestEndedRun.clear();
}

std::optional<Millis>
GangEnd(const FakeWorkers& aWorkers, const FakeRun& aRun, int aMembers)
{
  int members = 0;
  Millis end{ 0 };
  for (const auto& worker : aWorkers) {
    for (const FakeRun& run : worker->Runs()) {
      if (run.mTask.mStep == aRun.mTask.mStep && run.mRun == aRun.mRun &&
          !run.mStopping && !worker->IsPaused()) {
        ++members;
        end = std::max(end, run.End());
      }
    }
  }
  if (members < aMembers) {
    return std::nullopt;
  }
  return end;
}

void
EndOtherGangMembers(const FakeWorkers& aWorkers,
                    const FakeRun& aRun,
                    int aMembers,
                    EndKind aKind,
                    Millis aNow)
{
  if (aKind == EndKind::GangBroken) {
    return;
  }
  const EndKind others =
    aKind == EndKind::Succeeded ? EndKind::Succeeded : EndKind::GangBroken;
  for (int index = 0; index < aMembers; ++index) {
    TaskKey key = aRun.mTask;
    key.mIndex = index;
    for (const auto& worker : aWorkers) {
      worker->EndGangMember(key, aRun.mRun, others, aNow);
    }
  }
}

} // namespace oriolevane::jobs
