#include "settings/nodesettingsreader.h"

#include <fstream>
#include <sstream>

#include <fmt/format.h>

#include "settings/objectreader.h"

namespace oriolevane::settings {

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kMaxPartitions = 4'096;
constexpr std::int64_t kMaxShards = 4'096;
constexpr milliseconds kDay{ 86'400'000 };
// A lease must outlast several renewals, or one lost renewal would end it.
constexpr int kLeaseToRenewal = 3;

const std::vector<std::string> kLogLevels = { "debug",
                                              "info",
                                              "warning",
                                              "error" };

void
ReadNode(ObjectReader& aReader, NodeSettings& aSettings)
{
  aSettings.mNode = NodeId(aReader.Text("id"));
  aSettings.mZone = ZoneId(aReader.Text("zone"));
  aSettings.mRegion = aReader.Text("region", "");
  if (aSettings.mNode.mValue.find('/') != std::string::npos) {
    aReader.Reject("id", "must not hold a slash");
  }
}

void
ReadListen(ObjectReader& aReader, ListenSettings& aListen)
{
  aListen.mCallers = aReader.Address("callers");
  aListen.mPeers = aReader.Address("peers");
  aListen.mWorkers = aReader.Address("workers");
}

void
ReadPlatform(ObjectReader& aReader, PlatformSettings& aPlatform)
{
  aPlatform.mAddress = aReader.Address("address");
  aPlatform.mTimeout =
    aReader.Milliseconds("timeout_ms",
                         { milliseconds(10), milliseconds(60'000) },
                         aPlatform.mTimeout);
  aPlatform.mHostListEvery =
    aReader.Milliseconds("host_list_every_ms",
                         { milliseconds(100), milliseconds(60'000) },
                         aPlatform.mHostListEvery);
}

void
ReadCell(ObjectReader& aReader, CellSettings& aCell)
{
  aCell.mName = aReader.Text("name");
  aCell.mRequestPartitions = static_cast<std::uint32_t>(aReader.Integer(
    "request_partitions", { 1, kMaxPartitions }, aCell.mRequestPartitions));
  aCell.mWorkerShards = static_cast<std::uint32_t>(
    aReader.Integer("worker_shards", { 1, kMaxShards }, aCell.mWorkerShards));
}

void
ReadLeases(ObjectReader& aReader, LeaseSettings& aLeases)
{
  const Range<milliseconds> range{ milliseconds(50), milliseconds(600'000) };
  aLeases.mNodeLease =
    aReader.Milliseconds("node_lease_ms", range, aLeases.mNodeLease);
  aLeases.mNodeRenewEvery =
    aReader.Milliseconds("node_renew_every_ms", range, aLeases.mNodeRenewEvery);
  aLeases.mTaskLease =
    aReader.Milliseconds("task_lease_ms", range, aLeases.mTaskLease);
  aLeases.mWorkerHeartbeatEvery = aReader.Milliseconds(
    "worker_heartbeat_every_ms", range, aLeases.mWorkerHeartbeatEvery);
  if (aLeases.mNodeLease < kLeaseToRenewal * aLeases.mNodeRenewEvery) {
    aReader.Reject("node_lease_ms",
                   fmt::format("must be at least {} times node_renew_every_ms",
                               kLeaseToRenewal));
  }
  if (aLeases.mTaskLease < kLeaseToRenewal * aLeases.mWorkerHeartbeatEvery) {
    aReader.Reject(
      "task_lease_ms",
      fmt::format("must be at least {} times worker_heartbeat_every_ms",
                  kLeaseToRenewal));
  }
}

void
ReadJournal(ObjectReader& aReader, JournalSettings& aJournal)
{
  aJournal.mWriteBudgetPerSecond = aReader.Number(
    "write_budget_per_s", { 1, 100'000 }, aJournal.mWriteBudgetPerSecond);
  aJournal.mLeastInterval =
    aReader.Milliseconds("least_interval_ms",
                         { milliseconds(1), milliseconds(10'000) },
                         aJournal.mLeastInterval);
}

void
ReadLimits(ObjectReader& aReader, LimitSettings& aLimits)
{
  aLimits.mMaxBodyBytes = static_cast<std::uint64_t>(
    aReader.Integer("max_body_bytes",
                    { 1'024, 16'777'216 },
                    static_cast<std::int64_t>(aLimits.mMaxBodyBytes)));
  aLimits.mHttpThreads = static_cast<std::uint32_t>(
    aReader.Integer("http_threads", { 2, 1'024 }, aLimits.mHttpThreads));
  aLimits.mMaxConnections = static_cast<std::uint32_t>(
    aReader.Integer("max_connections", { 2, 65'536 }, aLimits.mMaxConnections));
  aLimits.mCallerTimeout = aReader.Milliseconds(
    "caller_timeout_ms", { milliseconds(10), kDay }, aLimits.mCallerTimeout);
  aLimits.mRingCapacity = static_cast<std::uint32_t>(
    aReader.Integer("ring_capacity", { 16, 1'048'576 }, aLimits.mRingCapacity));
  if (aLimits.mMaxConnections < aLimits.mHttpThreads) {
    aReader.Reject("max_connections", "must be at least http_threads");
  }
}

LogLevel
ReadLogLevel(ObjectReader& aReader)
{
  const std::string word = aReader.Word("level", kLogLevels, "info");
  for (std::size_t index = 0; index < kLogLevels.size(); ++index) {
    if (kLogLevels[index] == word) {
      return static_cast<LogLevel>(index);
    }
  }
  return LogLevel::Info;
}

void
ReadAll(ObjectReader& aReader, NodeSettings& aSettings)
{
  aReader.Object("node",
                 [&](ObjectReader& aNested) { ReadNode(aNested, aSettings); });
  aReader.Object("listen", [&](ObjectReader& aNested) {
    ReadListen(aNested, aSettings.mListen);
  });
  aReader.Object("platform", [&](ObjectReader& aNested) {
    ReadPlatform(aNested, aSettings.mPlatform);
  });
  aReader.Object(
    "cell", [&](ObjectReader& aNested) { ReadCell(aNested, aSettings.mCell); });
  aReader.Object("leases", [&](ObjectReader& aNested) {
    ReadLeases(aNested, aSettings.mLeases);
  });
  aReader.Object("journal", [&](ObjectReader& aNested) {
    ReadJournal(aNested, aSettings.mJournal);
  });
  aReader.Object("limits", [&](ObjectReader& aNested) {
    ReadLimits(aNested, aSettings.mLimits);
  });
  aReader.Object("stop", [&](ObjectReader& aNested) {
    aSettings.mStopGrace = aNested.Milliseconds(
      "grace_ms", { milliseconds(0), kDay }, aSettings.mStopGrace);
  });
  aReader.Object("log", [&](ObjectReader& aNested) {
    aSettings.mLogLevel = ReadLogLevel(aNested);
  });
}

} // namespace

absl::StatusOr<NodeSettings>
ParseNodeSettings(std::string_view aText)
{
  NodeSettings settings;
  const absl::Status status = ReadSettingsText(
    aText, [&](ObjectReader& aReader) { ReadAll(aReader, settings); });
  if (!status.ok()) {
    return status;
  }
  return settings;
}

absl::StatusOr<std::string>
ReadTextFile(const std::string& aPath)
{
  const std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return absl::NotFoundError(fmt::format("cannot read {}", aPath));
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

absl::StatusOr<NodeSettings>
LoadNodeSettings(const std::string& aPath)
{
  absl::StatusOr<std::string> text = ReadTextFile(aPath);
  if (!text.ok()) {
    return text.status();
  }
  return ParseNodeSettings(*text);
}

} // namespace oriolevane::settings
