// Benchmarks the scheduling order of a shard's scheduler under heavy load in
// simulated time, compared with baseline policies. Prints the results as
// name=value lines.
#include <fmt/format.h>
#include <gflags/gflags.h>

#include "framework/log.h"
#include "jobs/tests/loadtrial.h"
#include "teamcost.h"

DEFINE_int32(seeds, 3, "number of seeds to run, starting from 1");
DEFINE_string(
  load,
  "all",
  "route_1100, model_350, route_48, teams_48, team_flood_48 or all; the "
  "last two only by name");
DEFINE_string(policy,
              "all",
              "urgency, urgency_without_teams, first_in_first_out, "
              "strict_priority or all");
DEFINE_bool(team_order,
            false,
            "measure the cost of the order between teams instead");
DEFINE_bool(verbose, false, "log the scheduler's decisions");
DEFINE_double(factor, 1.0, "factor applied to the arrival rates of all jobs");

namespace {

using namespace oriolevane::jobs;

// A load with the name it has in the output and in --load.
struct NamedLoad
{
  std::string mName;
  LoadTrialOptions mOptions;
};

// A scheduling policy with the name it has in the output and in --policy.
struct NamedPolicy
{
  std::string mName;
  SchedulerOptions mScheduling;
  // Whether the configuration has the teams of the load.
  bool mUsesTeams = false;
};

std::vector<NamedLoad>
Loads()
{
  std::vector<NamedLoad> loads{ { "route_48", RouteAndBookingLoad() },
                                { "model_350", LargeModelAndPreviewLoad() },
                                { "route_1100", WideRouteAndBookingLoad() } };
  using namespace std::chrono_literals;
  for (NamedLoad& load : loads) {
    for (JobClass& jobClass : load.mOptions.mJobClasses) {
      jobClass.mJobsPerSecond *= FLAGS_factor;
    }
    load.mOptions.mBursts = { { .mJobClass = 2,
                                .mFrom = 6000ms,
                                .mUntil = 10000ms,
                                .mRateFactor = 2.0 },
                              { .mJobClass = 0,
                                .mFrom = 16000ms,
                                .mUntil = 20000ms,
                                .mRateFactor = 1.8 } };
  }
  loads.push_back({ "teams_48", TeamLoad() });
  loads.push_back({ "team_flood_48", TeamFloodLoad() });
  return loads;
}

std::vector<NamedPolicy>
Policies()
{
  SchedulerOptions urgency;
  SchedulerOptions arrival;
  arrival.mOrder = SchedulingOrder::Arrival;
  SchedulerOptions priority;
  priority.mOrder = SchedulingOrder::Priority;
  return { { "urgency", urgency, true },
           { "urgency_without_teams", urgency },
           { "first_in_first_out", arrival },
           { "strict_priority", priority } };
}

void
Print(const std::string& aName,
      const LoadTrialOptions& aOptions,
      const LoadOutcome& aOutcome)
{
  fmt::print("{}.worth={:.3f}\n", aName, aOutcome.EarnedShare());
  fmt::print("{}.used_share={:.3f}\n", aName, aOutcome.mUtilization);
  for (std::size_t jobClass = 0; jobClass < aOutcome.mJobClasses.size();
       ++jobClass) {
    const JobClassOutcome& outcome = aOutcome.mJobClasses[jobClass];
    fmt::print("{}.kind_{}={:.3f} jobs={} in_time={} late={} served={:.3f} "
               "largest_served={:.3f}\n",
               aName,
               jobClass,
               outcome.EarnedShare(),
               outcome.mJobs,
               outcome.mInTime,
               outcome.mLate,
               outcome.mServedShare,
               outcome.mLargestServedShare);
  }
  for (const auto& [team, outcome] : OutcomeByTeam(aOptions, aOutcome)) {
    if (!team.Empty()) {
      fmt::print("{}.{}={:.3f} jobs={} in_time={} late={} refusals={}\n",
                 aName,
                 team.mValue,
                 outcome.EarnedShare(),
                 outcome.mJobs,
                 outcome.mInTime,
                 outcome.mLate,
                 outcome.mRefusals);
    }
  }
  for (const std::string& violation : aOutcome.mViolations) {
    fmt::print("{}.violation={}\n", aName, violation);
  }
}

// Loads of teams run only by name, and nothing but them without teams.
bool
IsSelected(const NamedLoad& aLoad, const NamedPolicy& aPolicy)
{
  const bool hasTeams = !aLoad.mOptions.mTeams.empty();
  if (!hasTeams && aPolicy.mName == "urgency_without_teams") {
    return false;
  }
  return ((FLAGS_load == "all" && !hasTeams) || FLAGS_load == aLoad.mName) &&
         (FLAGS_policy == "all" || FLAGS_policy == aPolicy.mName);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  oriolevane::SetLogLevel(FLAGS_verbose ? oriolevane::LogLevel::Info
                                        : oriolevane::LogLevel::Error);
  if (FLAGS_team_order) {
    MeasureTeamOrder();
    return 0;
  }
  for (const NamedLoad& load : Loads()) {
    for (const NamedPolicy& policy : Policies()) {
      for (int seed = 1; IsSelected(load, policy) && seed <= FLAGS_seeds;
           ++seed) {
        LoadTrialOptions options = load.mOptions;
        options.mSeed = seed;
        options.mScheduling = policy.mScheduling;
        if (!policy.mUsesTeams) {
          options.mTeams.clear();
        }
        Print(fmt::format("jobs.{}.{}.seed_{}", load.mName, policy.mName, seed),
              options,
              RunLoadTrial(options));
      }
    }
  }
  return 0;
}
