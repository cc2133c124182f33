#include "teamcost.h"

#include <algorithm>
#include <chrono>
#include <functional>

#include <fmt/format.h>

#include "jobs/internal/dispatcher.h"
#include "jobs/internal/teamorder.h"
#include "jobs/tests/fakecell.h"

namespace oriolevane::jobs {

namespace {

using namespace std::chrono_literals;

constexpr int kWorkers = 1100;
constexpr int kTeams = 150;
constexpr int kWaitingJobs = 3000;
constexpr int kRepetitions = 101;
const Moment kNow{ .mSteady = TimePoint(1000s), .mUnix = 1700000000000ms };

// A full cell in which all jobs wait, and two thirds of them borrow.
void
FillCell(CellState& aCell)
{
  CellConfiguration configuration;
  configuration.mTeams.emplace();
  for (int team = 0; team < kTeams; ++team) {
    configuration.mTeams->push_back(
      { .mName = TeamId("team" + std::to_string(team)), .mWeight = 2.0 });
  }
  aCell.mTeams.Configure(configuration);
  aCell.mOwnership.Prove(kNow.mSteady, kNow.mSteady + 8s);
  for (int index = 0; index < kWorkers; ++index) {
    const WorkerId id("worker" + std::to_string(index));
    aCell.mFleet.Register(
      { .mId = id,
        .mPool = MakeQueue().mPool,
        .mCapacity = { .mMilliCores = 64000, .mMemoryMiB = 262144 } },
      kNow.mSteady);
    Worker& worker = *aCell.mFleet.Find(id);
    worker.mReachable = true;
    worker.mRecorded = true;
    worker.mClock = ClockReading{ .mReadAt = kNow.mSteady };
    worker.mUsed = worker.mEntry.mCapacity;
  }
  for (int index = 0; index < kWaitingJobs; ++index) {
    Job& job = aCell.mJobs.Add(
      { .mId = JobId(fmt::format("{:016x}", index)),
        .mQueue = MakeQueue(),
        .mSpec = SingleStepJob(MakeStep(1 + index % 8, 4000, 2000ms)),
        .mTeam = TeamId("team" + std::to_string(index % kTeams)),
        .mBorrows = index % 3 != 0 },
      kNow);
    job.mPhase = JobPhase::Open;
  }
}

double
MedianMicros(const std::function<void()>& aPrepare,
             const std::function<void()>& aAction)
{
  std::vector<double> times;
  for (int repetition = 0; repetition < kRepetitions; ++repetition) {
    aPrepare();
    const auto start = std::chrono::steady_clock::now();
    aAction();
    times.push_back(std::chrono::duration<double, std::micro>(
                      std::chrono::steady_clock::now() - start)
                      .count());
  }
  std::sort(times.begin(), times.end());
  return times[times.size() / 2];
}

} // namespace

void
MeasureTeamOrder()
{
  CellState cell({}, {});
  FillCell(cell);
  RunTracker runs(cell);
  AdvicePlanner advice(cell);
  Dispatcher dispatcher(cell, runs, advice);
  // A worker gains room before each pass, so that waiting steps are tried.
  const double pass = MedianMicros(
    [&] {
      cell.mFleet.NoteCapacityGain(cell.mFleet.Workers().begin()->second);
    },
    [&] { dispatcher.Dispatch(kNow, true); });
  const double idlePass =
    MedianMicros([] {}, [&] { dispatcher.Dispatch(kNow, true); });
  std::vector<Candidate> candidates =
    CandidateCollector(cell, advice).Collect(kNow, true);
  const std::vector<Candidate> collected = candidates;
  const double order = MedianMicros([&] { candidates = collected; },
                                    [&] {
                                      cell.mTeams.BeginPass(cell.mFleet);
                                      OrderForTeams(candidates, cell.mTeams);
                                    });
  fmt::print("jobs.team_order.workers={} teams={} waiting_steps={}\n",
             kWorkers,
             kTeams,
             collected.size());
  fmt::print("jobs.team_order.order_us={:.0f}\n", order);
  fmt::print("jobs.team_order.pass_us={:.0f}\n", pass);
  fmt::print("jobs.team_order.pass_without_gain_us={:.0f}\n", idlePass);
}

} // namespace oriolevane::jobs
