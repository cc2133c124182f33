#include "jobs/internal/gangroom.h"

#include <algorithm>
#include <optional>

namespace oriolevane::jobs {

namespace {

using namespace std::chrono_literals;

// Gangs for which room is kept at a time.
constexpr int kMostGangs = 12;
// Of runs whose job is not known.
constexpr std::chrono::milliseconds kUnknownRunTime = 1000ms;
// Runs on slow workers are expected to take up to this many times as long.
constexpr double kMostSlowness = 2.5;
// An overdue run is expected to go on for this part of its estimate.
constexpr int kOverdueShare = 10;

} // namespace

void
GangRoom::Begin(TimePoint aNow)
{
  mReservations.Clear();
  mKept = 0;
  mNow = aNow;
}

bool
GangRoom::IsFull() const
{
  return mKept >= kMostGangs;
}

TimePoint
GangRoom::ExpectedEnd(const Worker& aWorker, const Run& aRun) const
{
  const Job* job = mCell.mJobs.Find(aRun.mTask.mStep.mJob);
  Duration expected = kUnknownRunTime;
  if (job != nullptr && !aRun.mOrphan) {
    const StepSpec& spec = job->mRecord.mSpec.mSteps[aRun.mTask.mStep.mStep];
    expected = std::chrono::duration_cast<Duration>(
      spec.mEstimate *
      std::clamp(aWorker.mHealth.mSlowness, 1.0, kMostSlowness));
  }
  TimePoint end = aRun.mOrderedAt + expected;
  if (aRun.mStopWanted) {
    end = std::min<TimePoint>(
      end, aRun.mStopOrderedAt + mCell.mOptions.mLongestStop);
  }
  return std::max<TimePoint>(end, mNow + expected / kOverdueShare);
}

ReservationCandidate
GangRoom::CandidateOf(Worker& aWorker, const StepSpec& aSpec) const
{
  ReservationCandidate candidate{ .mWorker = &aWorker,
                                  .mEnds = {},
                                  .mMostTasks = aSpec.mTaskCount };
  if (aSpec.mMostPerWorker > 0) {
    candidate.mMostTasks = aSpec.mMostPerWorker;
  }
  for (const RunPointer& run : aWorker.mRuns) {
    candidate.mEnds.Add(ExpectedEnd(aWorker, *run), run->mResources);
  }
  candidate.mEnds.Sort();
  return candidate;
}

void
GangRoom::Keep(const StepSpec& aSpec, const std::vector<Worker*>& aWorkers)
{
  std::vector<ReservationCandidate> candidates;
  for (Worker* worker : aWorkers) {
    if (!mReservations.IsReserved(worker)) {
      candidates.push_back(CandidateOf(*worker, aSpec));
    }
  }
  const std::optional<Reservation> reservation =
    PlanReservation(candidates, aSpec.mResources, aSpec.mTaskCount, mNow);
  if (reservation.has_value()) {
    ++mKept;
    mReservations.Add(*reservation, aSpec.mResources, candidates);
  }
}

bool
GangRoom::Allows(const Worker* aWorker, const StepSpec& aSpec) const
{
  return mReservations.Allows(
    aWorker, aSpec.mResources, mNow + aSpec.mEstimate);
}

void
GangRoom::NotePlaced(const Worker* aWorker, const StepSpec& aSpec)
{
  mReservations.NotePlaced(aWorker, aSpec.mResources, mNow + aSpec.mEstimate);
}

} // namespace oriolevane::jobs
