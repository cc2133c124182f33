#include "jobs/internal/gangreservations.h"

#include <algorithm>
#include <optional>

namespace oriolevane::jobs {

namespace {

using namespace std::chrono_literals;

// Limit of gangs that have a reservation at the same time.
constexpr int kMaxReservedGangs = 12;
// Expected run time of runs whose job is unknown here.
constexpr std::chrono::milliseconds kDefaultRunTime = 1000ms;
// The slowness of a worker lengthens the expected run time by up to this
// factor.
constexpr double kMaxSlowness = 2.5;
// An overdue run is expected to last for another fraction of its estimate, with
// this divisor.
constexpr int kOverdueDivisor = 10;

} // namespace

void
GangReservations::BeginPass(TimePoint aNow)
{
  mReservations.Clear();
  mReservedGangs = 0;
  mNow = aNow;
}

bool
GangReservations::IsFull() const
{
  return mReservedGangs >= kMaxReservedGangs;
}

TimePoint
GangReservations::ExpectedEnd(const Worker& aWorker, const Run& aRun) const
{
  const Job* job = mCell.mJobs.Find(aRun.mTask.mStep.mJob);
  Duration expected = kDefaultRunTime;
  if (job != nullptr && !aRun.mOrphan) {
    const StepSpec& spec = job->mRecord.mSpec.mSteps[aRun.mTask.mStep.mStep];
    expected = std::chrono::duration_cast<Duration>(
      spec.mEstimate *
      std::clamp(aWorker.mHealth.mSlowness, 1.0, kMaxSlowness));
  }
  TimePoint end = aRun.mOrderedAt + expected;
  if (aRun.mStopWanted) {
    end = std::min<TimePoint>(
      end, aRun.mStopOrderedAt + mCell.mOptions.mMaxStopDuration);
  }
  return std::max<TimePoint>(end, mNow + expected / kOverdueDivisor);
}

ReservationCandidate
GangReservations::MakeCandidate(Worker& aWorker, const StepSpec& aSpec) const
{
  ReservationCandidate candidate{ .mWorker = &aWorker,
                                  .mEnds = {},
                                  .mMaxTasks = aSpec.mTaskCount };
  if (aSpec.mMaxPerWorker > 0) {
    candidate.mMaxTasks = aSpec.mMaxPerWorker;
  }
  for (const RunPointer& run : aWorker.mRuns) {
    candidate.mEnds.Add(ExpectedEnd(aWorker, *run), run->mResources);
  }
  candidate.mEnds.Sort();
  return candidate;
}

void
GangReservations::Reserve(const StepSpec& aSpec,
                          const std::vector<Worker*>& aWorkers)
{
  std::vector<ReservationCandidate> candidates;
  for (Worker* worker : aWorkers) {
    if (!mReservations.IsReserved(worker)) {
      candidates.push_back(MakeCandidate(*worker, aSpec));
    }
  }
  const std::optional<Reservation> reservation =
    PlanReservation(candidates, aSpec.mResources, aSpec.mTaskCount, mNow);
  if (reservation.has_value()) {
    ++mReservedGangs;
    mReservations.Add(*reservation, aSpec.mResources, candidates);
  }
}

bool
GangReservations::Allows(const Worker* aWorker, const StepSpec& aSpec) const
{
  return mReservations.Allows(
    aWorker, aSpec.mResources, mNow + aSpec.mEstimate);
}

void
GangReservations::RecordPlacement(const Worker* aWorker, const StepSpec& aSpec)
{
  mReservations.RecordPlacement(
    aWorker, aSpec.mResources, mNow + aSpec.mEstimate);
}

} // namespace oriolevane::jobs
