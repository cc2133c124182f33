#include "jobs/internal/workeranswerhandler.h"

#include <algorithm>
#include <utility>

#include "framework/log.h"

namespace oriolevane::jobs {

namespace {

using namespace std::chrono_literals;

// Delay before an unreachable worker is polled again.
constexpr std::chrono::milliseconds kUnreachablePollDelay = 250ms;
// The same while recovery still waits for the worker's report, and after the
// first poll without an answer, as only the answer may have been lost.
constexpr std::chrono::milliseconds kFastPollDelay = 20ms;
// Delay before the next poll while ends of the worker are not recorded yet and
// so cannot be confirmed.
constexpr std::chrono::milliseconds kUnrecordedEndsPollDelay = 900ms;
// A worker gets no new tasks for this long after it refused a start order as
// unhealthy, or after the outcome of one remained unknown.
constexpr std::chrono::milliseconds kUnhealthyAvoidance = 1000ms;
// A step is not tried again for this long after one of its start orders was
// refused.
constexpr std::chrono::milliseconds kRefusedStartDelay = 50ms;

} // namespace

void
WorkerAnswerHandler::OnPollAnswer(const PollOrder& aPoll,
                                  TimePoint aSentAt,
                                  const PollAnswer& aAnswer,
                                  const Moment& aNow)
{
  Worker* worker = mCell.mFleet.Find(aPoll.mWorker.mId);
  if (worker == nullptr) {
    return;
  }
  (aPoll.mWait.count() > 0 ? worker->mLongPollInFlight
                           : worker->mShortPollInFlight) = false;
  if (aPoll.mSerial < worker->mLastAnswerSerial) {
    return;
  }
  const bool soon = !worker->mReconciled || worker->mReachable;
  worker->mNextPollAt =
    aNow.mSteady + (soon ? kFastPollDelay : kUnreachablePollDelay);
  if (aAnswer.mResult == OrderResult::Done) {
    worker->mLastAnswerSerial = aPoll.mSerial;
    ProcessReport(*worker, aPoll, aSentAt, aAnswer.mReport, aNow);
    return;
  }
  if (worker->mReachable) {
    LogInfo("worker_unreachable")
      .With("worker", worker->Id())
      .With("result", static_cast<int>(aAnswer.mResult));
    worker->mReachable = false;
    mCrashHandler.OnUnreachable(*worker);
  }
  if (aAnswer.mResult == OrderResult::Fenced &&
      aPoll.mToken == worker->mToken) {
    mCell.NoteFenced(worker->Id(), aNow.mSteady);
  }
}

void
WorkerAnswerHandler::ProcessReport(Worker& aWorker,
                                   const PollOrder& aPoll,
                                   TimePoint aSentAt,
                                   const WorkerReport& aReport,
                                   const Moment& aNow)
{
  if (aReport.mIncarnation.has_value() &&
      *aReport.mIncarnation != aWorker.mEntry.mIncarnation) {
    const bool known = aWorker.mEntry.mIncarnation != WorkerIncarnation();
    if (known && *aReport.mIncarnation < aWorker.mEntry.mIncarnation) {
      return;
    }
    if (known) {
      mAdvice.RemoveWorker(&aWorker);
      mCell.mFleet.BeginIncarnation(
        aWorker, *aReport.mIncarnation, aNow.mSteady);
      mCrashHandler.OnRestarted(aWorker);
    }
    aWorker.mEntry.mIncarnation = *aReport.mIncarnation;
  }
  mCrashHandler.ResolveLosses(aWorker, aNow);
  if (!aWorker.mReachable) {
    mCell.mWorkerFailures.NoteReturn(aWorker.Id());
    LogInfo("worker_reachable")
      .With("worker", aWorker.Id())
      .With("running", aReport.mRunning.size())
      .With("ended", aReport.mEnded.size());
  }
  aWorker.mReachable = true;
  aWorker.mTokenSeen = std::max(aWorker.mTokenSeen, aPoll.mToken);
  mCell.mFleet.ReadClock(aWorker, aReport.mNow, aNow.mSteady);
  if (aPoll.mToken >= aWorker.mReconcilingToken) {
    mCell.mFleet.OnEarlierOrdersRefused(aWorker, aNow.mSteady);
  }
  ProcessEnds(aWorker, aReport, aNow);
  ProcessRunning(aWorker, aSentAt, aReport, aNow);
  if (!aReport.mEndsTruncated) {
    NoteAbsentRuns(aWorker, aPoll, aSentAt, aReport, aNow);
    aWorker.mReconciled =
      aWorker.mReconciled || aPoll.mToken >= aWorker.mReconcilingToken;
  }
  if (!aPoll.mLeaseEnd.has_value() && !aWorker.mRuns.empty()) {
    // The poll could not renew the lease, because the worker's clock was not
    // known then. The report has supplied it, so the next poll is sent at once.
    aWorker.mPollWanted = true;
  }
  const bool unrecorded =
    aWorker.mProcessedEndSerial > aWorker.mRecordedEndSerial;
  aWorker.mNextPollAt =
    unrecorded ? aNow.mSteady + kUnrecordedEndsPollDelay : aNow.mSteady;
}

void
WorkerAnswerHandler::ProcessEnds(Worker& aWorker,
                                 const WorkerReport& aReport,
                                 const Moment& aNow)
{
  const std::uint64_t before = aWorker.mProcessedEndSerial;
  for (const EndedTask& end : aReport.mEnded) {
    if (end.mSerial <= aWorker.mProcessedEndSerial) {
      continue;
    }
    aWorker.mProcessedEndSerial = end.mSerial;
    mRunEndHandler.OnRunEnded(aWorker, end, aNow);
  }
  if (aWorker.mProcessedEndSerial == before) {
    return;
  }
  const RecordPosition position = mCell.mWriteQueue.Newest();
  if (position <= mCell.mWriteQueue.Recorded()) {
    aWorker.mRecordedEndSerial = aWorker.mProcessedEndSerial;
    return;
  }
  aWorker.mUnrecordedEndSerials.emplace_back(position,
                                             aWorker.mProcessedEndSerial);
}

void
WorkerAnswerHandler::ProcessRunning(Worker& aWorker,
                                    TimePoint aSentAt,
                                    const WorkerReport& aReport,
                                    const Moment& aNow)
{
  const bool predecessorEnded = mCell.mOwnership.HadPredecessorEndedAt(aSentAt);
  for (const RunningTask& running : aReport.mRunning) {
    Run* run = aWorker.FindRun(running.mTask, running.mRun);
    const bool known = run != nullptr;
    if (known) {
      mRuns.MarkRunning(*run, aNow.mSteady);
      run->mAbsentSince.reset();
      run->mProgress.Report(running.mPercent, aNow.mSteady);
      mCrashHandler.OnRunPresent(aWorker, *run, aNow);
    } else {
      run = mRuns.Adopt(aWorker, running, aNow.mSteady);
    }
    Job* job = mCell.mJobs.Find(running.mTask.mStep.mJob);
    Task* task = job == nullptr ? nullptr : job->FindTask(running.mTask);
    if (task == nullptr || task->mSucceeded || run->mOrphan) {
      continue;
    }
    Step& step = *job->FindStep(running.mTask.mStep.mOccurrence,
                                running.mTask.mStep.mStep);
    step.mOutlivedPredecessor |= predecessorEnded && !run->mStopWanted;
    if (known && !running.mCheckpoint.empty()) {
      task->mCheckpoint = running.mCheckpoint;
    }
  }
}

void
WorkerAnswerHandler::NoteAbsentRuns(Worker& aWorker,
                                    const PollOrder& aPoll,
                                    TimePoint aSentAt,
                                    const WorkerReport& aReport,
                                    const Moment& aNow)
{
  const auto isPresent = [&aReport](const Run& aRun) {
    return std::any_of(aReport.mRunning.begin(),
                       aReport.mRunning.end(),
                       [&aRun](const RunningTask& aRunning) {
                         return aRunning.mRun == aRun.mNumber &&
                                aRunning.mTask == aRun.mTask;
                       });
  };
  for (const RunPointer& run : aWorker.mRuns) {
    if (run->mAbsentSince.has_value() || isPresent(*run)) {
      continue;
    }
    const bool lost =
      run->mPhase == RunPhase::Running && run->mConfirmedAt < aSentAt;
    // The worker has seen a higher token, so it refuses the start order if it
    // still arrives.
    const bool absent =
      run->mPhase == RunPhase::Uncertain && run->mToken < aPoll.mToken;
    if (lost || absent) {
      run->mAbsentSince = aNow.mSteady;
      aWorker.mHasAbsentRuns = true;
      mCell.mHooks.mOnProofWanted();
    }
  }
}

void
WorkerAnswerHandler::OnStartAnswer(const StartOrder& aOrder,
                                   const OrderAnswer& aAnswer,
                                   const Moment& aNow)
{
  Worker* worker = mCell.mFleet.Find(aOrder.mWorker.mId);
  if (worker == nullptr) {
    return;
  }
  Run* run = worker->FindRun(aOrder.mTask, aOrder.mRun);
  if (run == nullptr) {
    return;
  }
  // An order from before a restart may have been answered before it, too.
  const bool mayBeFormer = aOrder.mToken < worker->mReconcilingToken;
  if (aAnswer.mNow.has_value() && !mayBeFormer) {
    mCell.mFleet.ReadClock(*worker, *aAnswer.mNow, aNow.mSteady);
  }
  if (aAnswer.mResult == OrderResult::Done) {
    mRuns.MarkRunning(*run, aNow.mSteady);
    return;
  }
  if (run->mPhase == RunPhase::Running) {
    return;
  }
  LogInfo("start_not_confirmed")
    .With("task", aOrder.mTask.ToText())
    .With("run", aOrder.mRun)
    .With("worker", worker->Id())
    .With("result", static_cast<int>(aAnswer.mResult))
    .With("orders_sent", run->mOrdersSent);
  const bool unknown = aAnswer.mResult == OrderResult::Unknown;
  if (unknown && run->mPhase == RunPhase::Uncertain) {
    return;
  }
  if (unknown && mRuns.ResendStart(aOrder, *run, *worker, aNow.mSteady)) {
    return;
  }
  // A refusal of a repeated order does not show whether an earlier one was
  // carried out.
  if (unknown || run->mOrdersSent > 1) {
    run->mPhase = RunPhase::Uncertain;
    worker->mHealth.mAvoidUntil = aNow.mSteady + kUnhealthyAvoidance;
    mCell.mFleet.RaiseToken(*worker);
    return;
  }
  if (aAnswer.mResult == OrderResult::Fenced &&
      aOrder.mToken == worker->mToken) {
    mCell.NoteFenced(worker->Id(), aNow.mSteady);
  }
  if (aAnswer.mResult == OrderResult::Unhealthy) {
    worker->mHealth.mAvoidUntil = aNow.mSteady + kUnhealthyAvoidance;
  }
  if (aAnswer.mResult == OrderResult::OtherIncarnation ||
      aAnswer.mResult == OrderResult::TooLate ||
      aAnswer.mResult == OrderResult::NoRoom) {
    worker->mPollWanted = true;
    if (worker->mReachable) {
      worker->mReachable = false;
      mCrashHandler.OnUnreachable(*worker);
    }
  }
  Job* job = mCell.mJobs.Find(aOrder.mTask.mStep.mJob);
  Step* step = job == nullptr ? nullptr
                              : job->FindStep(aOrder.mTask.mStep.mOccurrence,
                                              aOrder.mTask.mStep.mStep);
  if (step != nullptr) {
    step->mNotBefore = aNow.mSteady + kRefusedStartDelay;
    step->mTriedGeneration = 0;
    if (aAnswer.mResult == OrderResult::BadTicket) {
      step->mAdvice.InvalidateTicket(worker);
    }
  }
  mRunEndHandler.OnRunNotStarted(*worker, run, aNow);
}

void
WorkerAnswerHandler::ConcludeLosses(const Moment& aNow)
{
  for (auto& [id, worker] : mCell.mFleet.Workers()) {
    if (worker.mHasAbsentRuns) {
      ConcludeAbsences(worker, aNow);
    }
    const TimePoint runsEnd = worker.mLease.RunsEndBy();
    if (!worker.mReachable && runsEnd <= aNow.mSteady &&
        mCell.mOwnership.IsProvenAt(runsEnd)) {
      ExpireLease(worker, aNow);
    }
  }
}

TimePoint
WorkerAnswerHandler::EndOfAbsentRun(const Run& aRun) const
{
  TimePoint end = *aRun.mAbsentSince;
  // A worker may not list a run that it is ending, nor its end yet.
  if (aRun.mPhase == RunPhase::Running || aRun.mStopWanted) {
    end += mCell.mOptions.mMaxStopDuration;
  }
  return std::max(end, aRun.mFormerEndsBy.value_or(end));
}

void
WorkerAnswerHandler::ConcludeAbsences(Worker& aWorker, const Moment& aNow)
{
  aWorker.mHasAbsentRuns = false;
  const std::vector<RunPointer> runs = aWorker.mRuns;
  for (const RunPointer& run : runs) {
    if (!run->mAbsentSince.has_value()) {
      continue;
    }
    if (!mCell.mOwnership.IsProvenAt(EndOfAbsentRun(*run))) {
      aWorker.mHasAbsentRuns = true;
    } else if (run->mPhase == RunPhase::Running) {
      mRunEndHandler.OnRunLost(aWorker, run, LossProof::NotListed, aNow);
    } else {
      const LossProof proof = run->mFormerEndsBy.has_value()
                                ? LossProof::FormerLeaseExpired
                                : LossProof::NotListed;
      mCrashHandler.OnRunAbsent(aWorker, run, proof, aNow);
    }
  }
}

void
WorkerAnswerHandler::ExpireLease(Worker& aWorker, const Moment& aNow)
{
  if (!aWorker.mRuns.empty()) {
    const TimePoint restarted = aWorker.mRestartKnownAt.value_or(aNow.mSteady);
    LogWarning("worker_lease_expired")
      .With("worker", aWorker.Id())
      .With("runs", aWorker.mRuns.size())
      .With("since_restart_ms",
            std::chrono::duration_cast<std::chrono::milliseconds>(aNow.mSteady -
                                                                  restarted)
              .count());
    mCrashHandler.OnLeaseExpired(aWorker, aNow);
  }
  aWorker.mReconciled = true;
}

} // namespace oriolevane::jobs
