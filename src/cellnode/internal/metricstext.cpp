#include "cellnode/metricstext.h"

#include <utility>
#include <vector>

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include "framework/log.h"

namespace oriolevane::cellnode {

namespace {

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

} // namespace

std::string
MetricsText(const NodeStatus& aStatus, const NodeMetrics& aMetrics)
{
  const auto number = [](auto aCount) { return static_cast<double>(aCount); };
  const std::chrono::duration<double> storeAge = aStatus.mStoreAge;
  std::vector<prometheus::MetricFamily> families{
    Gauge("owns_shard",
          "1 while this node owns the shard",
          aStatus.mOwnsShard ? 1 : 0),
    Gauge("epoch",
          "highest ownership term that this node knows",
          number(aStatus.mEpoch.mValue)),
    Gauge("configuration_version",
          "configuration in force on this node",
          number(aStatus.mVersion.mValue)),
    Gauge("links", "links to other nodes", number(aStatus.mLinks)),
    Gauge("open_jobs",
          "jobs of the shard that are not forgotten yet, at its owner",
          number(aStatus.mCounts.mOpenJobs)),
    Gauge("runs",
          "runs that take room on workers, at the owner",
          number(aStatus.mCounts.mRuns)),
    Gauge("workers",
          "workers in the registry, at the owner",
          number(aStatus.mCounts.mWorkers)),
    Gauge("reachable_workers",
          "workers that answered their last poll, at the owner",
          number(aStatus.mCounts.mReachableWorkers)),
    Gauge("store_age_seconds",
          "time since the owner's last write to the store",
          storeAge.count()),
    Counter("log_lines_dropped_total",
            "log lines over their budget, or not taken by standard output",
            number(DroppedLogLines()))
  };
  if (aStatus.mConfigurationAge.has_value()) {
    const std::chrono::duration<double> age = *aStatus.mConfigurationAge;
    families.push_back(
      Gauge("configuration_age_seconds",
            "time since the configuration was known to be the newest one",
            age.count()));
  }
  for (prometheus::MetricFamily& family : aMetrics.Collect()) {
    families.push_back(std::move(family));
  }
  return prometheus::TextSerializer().Serialize(families);
}

} // namespace oriolevane::cellnode
