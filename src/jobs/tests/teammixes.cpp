#include "jobs/tests/loadtrial.h"

namespace oriolevane::jobs {

namespace {

using namespace std::chrono_literals;

constexpr int kTeams = 5;
// Guaranteed jobs a second, as a multiple of those that a team usually sends.
// Arrivals are random, so a guarantee of the mean would lend a third of them.
constexpr double kGuaranteeFactor = 1.5;
constexpr double kFloodFactor = 5.0;
constexpr Millis kFloodStart = 4000ms;

} // namespace

LoadTrialOptions
TeamLoad()
{
  LoadTrialOptions options = RouteAndBookingLoad();
  const std::vector<JobClass> site = std::move(options.mJobClasses);
  options.mJobClasses.clear();
  for (int team = 0; team < kTeams; ++team) {
    teams::TeamPolicy policy{ .mName = TeamId("team" + std::to_string(team)),
                              .mWeight = 0 };
    for (JobClass jobClass : site) {
      jobClass.mTeam = policy.mName;
      jobClass.mJobsPerSecond /= kTeams;
      policy.mWeight += kGuaranteeFactor * jobClass.mJobsPerSecond;
      options.mJobClasses.push_back(std::move(jobClass));
    }
    options.mTeams.push_back(std::move(policy));
  }
  return options;
}

LoadTrialOptions
TeamFloodLoad()
{
  LoadTrialOptions options = TeamLoad();
  for (std::size_t jobClass = 0; jobClass < options.mJobClasses.size();
       ++jobClass) {
    if (options.mJobClasses[jobClass].mTeam == options.mTeams.back().mName) {
      options.mBursts.push_back({ .mJobClass = jobClass,
                                  .mFrom = kFloodStart,
                                  .mUntil = options.mDuration,
                                  .mRateFactor = kFloodFactor });
    }
  }
  return options;
}

std::map<TeamId, JobClassOutcome>
OutcomeByTeam(const LoadTrialOptions& aOptions, const LoadOutcome& aOutcome)
{
  std::map<TeamId, JobClassOutcome> teams;
  for (std::size_t jobClass = 0; jobClass < aOptions.mJobClasses.size();
       ++jobClass) {
    const JobClassOutcome& outcome = aOutcome.mJobClasses[jobClass];
    JobClassOutcome& team = teams[aOptions.mJobClasses[jobClass].mTeam];
    team.mJobs += outcome.mJobs;
    team.mInTime += outcome.mInTime;
    team.mLate += outcome.mLate;
    team.mRefusals += outcome.mRefusals;
    team.mPossibleValue += outcome.mPossibleValue;
    team.mEarnedValue += outcome.mEarnedValue;
  }
  return teams;
}

} // namespace oriolevane::jobs
