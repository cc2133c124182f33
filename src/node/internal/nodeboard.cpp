#include "node/internal/nodeboard.h"

#include <algorithm>

namespace oriolevane::node {

void
NodeBoard::SetMembers(const std::vector<membership::Member>& aMembers)
{
  const std::lock_guard lock(mMutex);
  mMembers = aMembers;
  std::erase_if(mHeartbeats, [&aMembers](const auto& aEntry) {
    return std::none_of(
      aMembers.begin(), aMembers.end(), [&aEntry](const auto& aMember) {
        return aMember.mNode == aEntry.first;
      });
  });
}

void
NodeBoard::Learn(const codec::Heartbeat& aHeartbeat)
{
  const std::lock_guard lock(mMutex);
  codec::Heartbeat& known = mHeartbeats[aHeartbeat.mNode];
  if (aHeartbeat.mIncarnation != known.mIncarnation ||
      aHeartbeat.mCounter > known.mCounter) {
    known = aHeartbeat;
  }
}

std::vector<gateway::NodeInfo>
NodeBoard::Nodes(const NodeId& aSelf,
                 ConfigurationVersion aVersion,
                 const std::vector<NodeId>& aConnected) const
{
  const std::lock_guard lock(mMutex);
  std::vector<gateway::NodeInfo> nodes;
  for (const membership::Member& member : mMembers) {
    gateway::NodeInfo info{ .mNode = member.mNode,
                            .mIncarnation = member.mIncarnation,
                            .mZone = member.mZone,
                            .mLeaving = member.mLeaving };
    const auto heartbeat = mHeartbeats.find(member.mNode);
    if (member.mNode == aSelf) {
      info.mVersion = aVersion;
      info.mConnected = true;
    } else if (heartbeat != mHeartbeats.end()) {
      info.mVersion = heartbeat->second.mConfiguration;
      info.mConnected =
        std::find(aConnected.begin(), aConnected.end(), member.mNode) !=
        aConnected.end();
    }
    nodes.push_back(std::move(info));
  }
  return nodes;
}

std::size_t
NodeBoard::MemberCount() const
{
  const std::lock_guard lock(mMutex);
  return mMembers.size();
}

bool
NodeBoard::IsMember(const NodeId& aNode) const
{
  const std::lock_guard lock(mMutex);
  return std::any_of(
    mMembers.begin(), mMembers.end(), [&aNode](const auto& aMember) {
      return aMember.mNode == aNode;
    });
}

} // namespace oriolevane::node
