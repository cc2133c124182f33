// What this node knows of all nodes: members as the table gives them, and what
// they say in heartbeats.
#pragma once

#include <map>
#include <mutex>
#include <vector>

#include "codec/types/heartbeat.h"
#include "gateway/types/gatewayhooks.h"
#include "membership/types/member.h"

namespace oriolevane::node {

// Thread-safe.
class NodeBoard
{
public:
  void SetMembers(const std::vector<membership::Member>& aMembers);
  void Learn(const codec::Heartbeat& aHeartbeat);
  // aConnected: nodes whose connection is up; aSelf with aVersion is this node.
  std::vector<gateway::NodeInfo> Nodes(
    const NodeId& aSelf,
    ConfigurationVersion aVersion,
    const std::vector<NodeId>& aConnected) const;
  std::size_t MemberCount() const;
  bool IsMember(const NodeId& aNode) const;

private:
  mutable std::mutex mMutex;
  std::vector<membership::Member> mMembers;
  std::map<NodeId, codec::Heartbeat> mHeartbeats;
};

} // namespace oriolevane::node
