#include "cellnode/metricstext.h"

#include <chrono>
#include <concepts>
#include <map>
#include <utility>
#include <vector>

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include "framework/log.h"

namespace oriolevane::cellnode {

namespace {

double
Number(std::integral auto aCount)
{
  return static_cast<double>(aCount);
}

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

// Returns a family with one metric, whose value is not set yet.
prometheus::MetricFamily
Family(const std::string& aName,
       const std::string& aHelp,
       prometheus::MetricType aType)
{
  prometheus::MetricFamily family;
  family.name = "oriolevane_" + aName;
  family.help = aHelp;
  family.type = aType;
  family.metric.emplace_back();
  return family;
}

prometheus::MetricFamily
Gauge(const std::string& aName, const std::string& aHelp, double aValue)
{
  auto family = Family(aName, aHelp, prometheus::MetricType::Gauge);
  family.metric.back().gauge.value = aValue;
  return family;
}

prometheus::MetricFamily
Counter(const std::string& aName, const std::string& aHelp, double aValue)
{
  auto family = Family(aName, aHelp, prometheus::MetricType::Counter);
  family.metric.back().counter.value = aValue;
  return family;
}

// Teams beyond this number are reported together, which bounds the number of
// label values.
constexpr std::size_t kMaxNamedTeams = 200;
constexpr const char* kOtherTeams = "other";

// Adds up what is reported under one team label.
void
Merge(jobs::TeamCounts& aSum, const jobs::TeamCounts& aTeam)
{
  aSum.mRunning += aTeam.mRunning;
  aSum.mWaitingJobs += aTeam.mWaitingJobs;
  aSum.mQuota += aTeam.mQuota;
  aSum.mDominantShare += aTeam.mDominantShare;
  for (const auto& [reason, count] : aTeam.mRefused) {
    aSum.mRefused[reason] += count;
  }
}

// The counts by team label, in the order of the names.
std::map<std::string, jobs::TeamCounts>
LabelledCounts(const std::vector<jobs::TeamCounts>& aTeams)
{
  std::map<std::string, jobs::TeamCounts> sorted;
  for (const jobs::TeamCounts& team : aTeams) {
    sorted[team.mTeam.mValue] = team;
  }
  std::map<std::string, jobs::TeamCounts> labelled;
  std::size_t named = 0;
  for (const auto& [name, team] : sorted) {
    Merge(labelled[named < kMaxNamedTeams ? name : kOtherTeams], team);
    ++named;
  }
  return labelled;
}

void
AddTeamFamilies(const std::vector<jobs::TeamCounts>& aTeams,
                std::vector<prometheus::MetricFamily>& aFamilies)
{
  const auto counts = LabelledCounts(aTeams);
  const auto addGauge = [&](const std::string& aName,
                            const std::string& aHelp,
                            const auto& aValueOf) {
    auto family = Family(aName, aHelp, prometheus::MetricType::Gauge);
    family.metric.clear();
    for (const auto& [name, team] : counts) {
      prometheus::ClientMetric& metric = family.metric.emplace_back();
      metric.label.push_back({ "team", name });
      metric.gauge.value = static_cast<double>(aValueOf(team));
    }
    aFamilies.push_back(std::move(family));
  };
  addGauge("team_running_millicores",
           "processors that the team's runs take on workers",
           [](const auto& aTeam) { return aTeam.mRunning.mMilliCores; });
  addGauge("team_waiting_jobs",
           "accepted jobs of the team that have not started",
           [](const auto& aTeam) { return aTeam.mWaitingJobs; });
  addGauge("team_quota_millicores",
           "limit of the processors that the team's runs take; 0 is no limit",
           [](const auto& aTeam) { return aTeam.mQuota.mMilliCores; });
  addGauge("team_dominant_share",
           "largest part of any one resource of the cell that the team uses",
           [](const auto& aTeam) { return aTeam.mDominantShare; });
  auto refused = Family("team_refused_total",
                        "jobs refused on account of their team",
                        prometheus::MetricType::Counter);
  refused.metric.clear();
  for (const auto& [name, team] : counts) {
    for (const auto& [reason, count] : team.mRefused) {
      prometheus::ClientMetric& metric = refused.metric.emplace_back();
      metric.label = { { "team", name },
                       { "reason", std::string(jobs::ToText(reason)) } };
      metric.counter.value = static_cast<double>(count);
    }
  }
  aFamilies.push_back(std::move(refused));
}

// Adds what is known of the queries to the policy service.
void
AddAdviceFamilies(const NodeStatus& aStatus,
                  std::vector<prometheus::MetricFamily>& aFamilies)
{
  const std::chrono::duration<double> wait =
    aStatus.mAdviceBacklog.mLongestWait;
  const std::chrono::duration<double> pending =
    aStatus.mCounts.mLongestAdviceWait;
  aFamilies.push_back(
    Gauge("advice_queries_waiting",
          "queries to the policy service that wait for a node, at the owner",
          static_cast<double>(aStatus.mAdviceBacklog.mQueries)));
  aFamilies.push_back(Gauge("advice_wait_seconds",
                            "longest time for which one of them has waited",
                            wait.count()));
  aFamilies.push_back(
    Gauge("advice_pending_seconds",
          "longest time for which a step has waited for answers about it",
          pending.count()));
}

// Adds what the open jobs take of the owner.
void
AddFootprintFamilies(const jobs::SchedulerCounts& aCounts,
                     std::vector<prometheus::MetricFamily>& aFamilies)
{
  aFamilies.push_back(Gauge("job_memory_bytes",
                            "estimated memory of the open jobs, at the owner",
                            Number(aCounts.mFootprint.mBytes)));
  aFamilies.push_back(
    Gauge("job_memory_limit_bytes",
          "jobs are refused above it; 0 is no limit",
          Number(aCounts.mFootprintLimits.mBytes.value_or(0))));
  aFamilies.push_back(Gauge("open_steps",
                            "steps of the open jobs, at the owner",
                            Number(aCounts.mFootprint.mOpenSteps)));
  aFamilies.push_back(
    Gauge("open_steps_limit",
          "jobs are refused above it; 0 is no limit",
          Number(aCounts.mFootprintLimits.mOpenSteps.value_or(0))));
}

// Adds the steps and workers that wait for something, with the longest wait.
void
AddWaitFamilies(const jobs::SchedulerCounts& aCounts,
                std::vector<prometheus::MetricFamily>& aFamilies)
{
  const auto add = [&aFamilies](const std::string& aName,
                                const std::string& aHelp,
                                double aValue) {
    aFamilies.push_back(Gauge(aName, aHelp, aValue));
  };
  add("long_running_steps_waiting",
      "long-running steps with tasks that wait to start, at the owner",
      Number(aCounts.mLongRunningWaits.mSteps));
  add("long_running_wait_seconds",
      "longest time for which one of them has waited",
      Seconds(aCounts.mLongRunningWaits.mLongest));
  add("workers_on_trial",
      "workers that get one task at a time after failures, at the owner",
      Number(aCounts.mWorkerTrials.mWorkers));
  add("worker_trials_full",
      "workers on trial whose task has not ended",
      Number(aCounts.mWorkerTrials.mFull));
  add("worker_trial_seconds",
      "longest time for which a worker has been on trial",
      Seconds(aCounts.mWorkerTrials.mLongest));
  add("workers_without_entry",
      "restarted workers whose new entry has not been read, at the owner",
      Number(aCounts.mEntryWaits.mWorkers));
  add("worker_entry_wait_seconds",
      "longest time for which one of them has waited for it",
      Seconds(aCounts.mEntryWaits.mLongest));
  add("isolated_steps_waiting",
      "steps that wait to start alone on a worker after crashes, at the owner",
      Number(aCounts.mIsolationWaits.mSteps));
  add("isolation_wait_seconds",
      "longest time for which one of them has waited for it",
      Seconds(aCounts.mIsolationWaits.mLongest));
}

} // namespace

std::string
MetricsText(const NodeStatus& aStatus, const NodeMetrics& aMetrics)
{
  const std::chrono::duration<double> storeAge = aStatus.mStoreAge;
  std::vector<prometheus::MetricFamily> families{
    Gauge("owns_shard",
          "1 while this node owns the shard",
          aStatus.mOwnsShard ? 1 : 0),
    Gauge("epoch",
          "highest ownership term that this node knows",
          Number(aStatus.mEpoch.mValue)),
    Gauge("configuration_version",
          "configuration in force on this node",
          Number(aStatus.mVersion.mValue)),
    Gauge("links", "links to other nodes", Number(aStatus.mLinks)),
    Gauge("open_jobs",
          "jobs of the shard that are not forgotten yet, at its owner",
          Number(aStatus.mCounts.mOpenJobs)),
    Gauge("runs",
          "runs that take room on workers, at the owner",
          Number(aStatus.mCounts.mRuns)),
    Gauge("uncertain_runs",
          "runs that may have ended or may not have started, at the owner",
          Number(aStatus.mCounts.mUncertainRuns)),
    Gauge("workers",
          "workers in the registry, at the owner",
          Number(aStatus.mCounts.mWorkers)),
    Gauge("reachable_workers",
          "workers that answered their last poll, at the owner",
          Number(aStatus.mCounts.mReachableWorkers)),
    Gauge("store_age_seconds",
          "time since the owner's last write to the store",
          storeAge.count()),
    Counter("log_lines_dropped_total",
            "log lines over their budget, or not taken by standard output",
            Number(DroppedLogLines()))
  };
  AddFootprintFamilies(aStatus.mCounts, families);
  AddWaitFamilies(aStatus.mCounts, families);
  AddAdviceFamilies(aStatus, families);
  if (aStatus.mConfigurationAge.has_value()) {
    const std::chrono::duration<double> age = *aStatus.mConfigurationAge;
    families.push_back(
      Gauge("configuration_age_seconds",
            "time since the configuration was known to be the newest one",
            age.count()));
  }
  if (!aStatus.mCounts.mTeams.empty()) {
    AddTeamFamilies(aStatus.mCounts.mTeams, families);
  }
  for (prometheus::MetricFamily& family : aMetrics.Collect()) {
    families.push_back(std::move(family));
  }
  return prometheus::TextSerializer().Serialize(families);
}

} // namespace oriolevane::cellnode
