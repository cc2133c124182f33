// What operators read of nodes, shards, workers and the configuration's
// history.
#pragma once

#include <vector>

#include <nlohmann/json.hpp>

#include "gateway/types/gatewayhooks.h"

namespace oriolevane::gateway {

nlohmann::json
NodesJson(const std::vector<NodeInfo>& aNodes);
nlohmann::json
InForceJson(const std::vector<NodeInfo>& aNodes);
nlohmann::json
ShardsJson(const std::vector<protocol::ShardDigest>& aShards);
nlohmann::json
WorkersJson(const std::vector<protocol::WorkerInfo>& aWorkers);
nlohmann::json
HistoryJson(const std::vector<configuration::HistoryEntry>& aEntries);

} // namespace oriolevane::gateway
