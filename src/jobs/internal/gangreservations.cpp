#include "jobs/internal/gangreservations.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "jobs/internal/runforecast.h"

namespace oriolevane::jobs {

namespace {

using namespace std::chrono_literals;

// Limit of gangs of a group that have a reservation at the same time. Capacity
// that waits for one gang is kept from all others, so only the most urgent ones
// have it.
constexpr int kMaxReservedGangs = 12;
// Expected run time of runs whose job is unknown here.
constexpr std::chrono::milliseconds kDefaultRunTime = 1000ms;
// The slowness of a worker lengthens the expected run time by up to this
// factor.
constexpr double kMaxSlowness = 2.5;
// A gang starts soon when it waits for less than its estimate divided by this.
constexpr int kSoonDivisor = 5;
// An overdue run is expected to last for another fraction of its estimate, with
// this divisor.
constexpr int kOverdueDivisor = 10;

} // namespace

void
GangReservations::BeginPass(TimePoint aNow)
{
  mReservations.Clear();
  mReservedGangs.clear();
  mNow = aNow;
}

bool
GangReservations::IsFull(const WorkerGroup& aGroup) const
{
  const auto found = mReservedGangs.find(aGroup);
  return found != mReservedGangs.end() && found->second >= kMaxReservedGangs;
}

TimePoint
GangReservations::ExpectedEnd(const Worker& aWorker, const Run& aRun) const
{
  const Job* job = mCell.mJobs.Find(aRun.mTask.mStep.mJob);
  Duration expected = kDefaultRunTime;
  if (job != nullptr && !aRun.mOrphan) {
    const StepSpec& spec = job->mRecord.mSpec.mSteps[aRun.mTask.mStep.mStep];
    if (spec.mLongRunning && !aRun.mStopWanted) {
      return kNoExpectedEnd;
    }
    expected = std::chrono::duration_cast<Duration>(
      spec.mEstimate *
      std::clamp(aWorker.mHealth.mSlowness, 1.0, kMaxSlowness));
  }
  TimePoint end = ExpectedEndOf(aRun, expected);
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

GangReservations::Candidates
GangReservations::MakeCandidates(const StepSpec& aSpec,
                                 const std::vector<Worker*>& aWorkers,
                                 bool aWithSlow) const
{
  Candidates candidates;
  for (Worker* worker : aWorkers) {
    const bool suitable = aWithSlow || !worker->mHealth.mRunTime.IsSlow();
    if (suitable && !mReservations.IsReserved(worker)) {
      candidates.push_back(MakeCandidate(*worker, aSpec));
    }
  }
  return candidates;
}

std::optional<Reservation>
GangReservations::Plan(const StepSpec& aSpec,
                       const Candidates& aCandidates) const
{
  return PlanReservation(aCandidates, aSpec.mResources, aSpec.mTaskCount, mNow);
}

TimePoint
GangReservations::ExpectedGangEnd(const Reservation& aReservation,
                                  const StepSpec& aSpec)
{
  double slowest = 0;
  for (const ReservedWorker& reserved : aReservation.mWorkers) {
    slowest = std::max(slowest, reserved.mWorker->mHealth.mRunTime.Factor());
  }
  return aReservation.mStart +
         std::chrono::duration_cast<Duration>(aSpec.mEstimate * slowest);
}

bool
GangReservations::Reserve(const WorkerGroup& aGroup,
                          const StepSpec& aSpec,
                          const std::vector<Worker*>& aWorkers,
                          bool aWithSlow)
{
  Candidates candidates = MakeCandidates(aSpec, aWorkers, aWithSlow);
  std::optional<Reservation> reservation = Plan(aSpec, candidates);
  bool withSlow = aWithSlow;
  // When the gang can start soon, slower workers cannot let it end sooner.
  const bool soon =
    reservation.has_value() &&
    reservation->mStart <= mNow + aSpec.mEstimate / kSoonDivisor;
  if (!aWithSlow && !soon) {
    Candidates all = MakeCandidates(aSpec, aWorkers, true);
    std::optional<Reservation> other = Plan(aSpec, all);
    withSlow = other.has_value() && (!reservation.has_value() ||
                                     ExpectedGangEnd(*other, aSpec) <
                                       ExpectedGangEnd(*reservation, aSpec));
    if (withSlow) {
      candidates = std::move(all);
      reservation = std::move(other);
    }
  }
  if (reservation.has_value()) {
    ++mReservedGangs[aGroup];
    mReservations.Add(*reservation, aSpec.mResources, candidates);
  }
  return withSlow;
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
