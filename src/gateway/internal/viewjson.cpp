#include "gateway/internal/viewjson.h"

#include <algorithm>

namespace oriolevane::gateway {

using nlohmann::json;

namespace {

json
AmountsJson(const Resources& aAmounts)
{
  return { { "milli_cores", aAmounts.mMilliCores },
           { "memory_mib", aAmounts.mMemoryMiB },
           { "accelerators", aAmounts.mAccelerators },
           { "slots", aAmounts.mSlots } };
}

} // namespace

json
NodesJson(const std::vector<NodeInfo>& aNodes)
{
  json nodes = json::array();
  for (const NodeInfo& node : aNodes) {
    nodes.push_back({ { "node", node.mNode.mValue },
                      { "zone", node.mZone.mValue },
                      { "configuration_version", node.mVersion.mValue },
                      { "leaving", node.mLeaving },
                      { "connected", node.mConnected } });
  }
  return { { "nodes", std::move(nodes) } };
}

json
InForceJson(const std::vector<NodeInfo>& aNodes)
{
  json versions = json::object();
  std::uint64_t least = aNodes.empty() ? 0 : aNodes.front().mVersion.mValue;
  for (const NodeInfo& node : aNodes) {
    versions[node.mNode.mValue] = node.mVersion.mValue;
    least = std::min(least, node.mVersion.mValue);
  }
  return { { "in_force_everywhere", least }, { "nodes", std::move(versions) } };
}

json
ShardsJson(const std::vector<protocol::ShardDigest>& aShards)
{
  json shards = json::array();
  for (const protocol::ShardDigest& shard : aShards) {
    shards.push_back({ { "shard", shard.mShard.mValue },
                       { "epoch", shard.mEpoch.mValue },
                       { "owner", shard.mOwner.mValue },
                       { "ready", shard.mReady },
                       { "workers", shard.mWorkers },
                       { "total", AmountsJson(shard.mTotal) },
                       { "free", AmountsJson(shard.mFree) },
                       { "queued", shard.mQueued },
                       { "expected_wait_ms", shard.mExpectedWait.count() } });
  }
  return { { "shards", std::move(shards) } };
}

json
WorkersJson(const std::vector<protocol::WorkerInfo>& aWorkers)
{
  json workers = json::array();
  for (const protocol::WorkerInfo& worker : aWorkers) {
    workers.push_back({ { "worker", worker.mWorker.mValue },
                        { "zone", worker.mZone.mValue },
                        { "rack", worker.mRack.mValue },
                        { "capacity", AmountsJson(worker.mCapacity) },
                        { "leaving", worker.mLeaving } });
  }
  return { { "workers", std::move(workers) } };
}

json
HistoryJson(const std::vector<configuration::HistoryEntry>& aEntries)
{
  json entries = json::array();
  for (const configuration::HistoryEntry& entry : aEntries) {
    entries.push_back({ { "version", entry.mVersion.mValue },
                        { "base", entry.mBase.mValue },
                        { "patch_id", entry.mPatchId },
                        { "author", entry.mAuthor },
                        { "patch", json::parse(entry.mPatch) } });
  }
  return { { "history", std::move(entries) } };
}

} // namespace oriolevane::gateway
