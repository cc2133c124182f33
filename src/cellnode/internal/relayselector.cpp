#include "cellnode/relayselector.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "framework/stablehash.h"

namespace oriolevane::cellnode {

namespace {

// Rendezvous hashing: most workers keep their relay when another node is added
// or removed.
const NodeId*
HighestHash(const std::vector<NodeId>& aRelays, const WorkerId& aWorker)
{
  const std::uint64_t worker = StableHash(aWorker.mValue);
  const NodeId* best = nullptr;
  std::uint64_t highest = 0;
  for (const NodeId& relay : aRelays) {
    const std::uint64_t hash = StableHash(relay.mValue, worker);
    if (best == nullptr || hash > highest) {
      best = &relay;
      highest = hash;
    }
  }
  return best;
}

} // namespace

RelaySelector::RelaySelector(RelaySelectorOptions aOptions)
  : mOptions(aOptions)
{
}

void
RelaySelector::AddNode(RelayNode aNode)
{
  mNodes[aNode.mNode].mRelay = std::move(aNode);
  mChanged = true;
}

void
RelaySelector::RemoveNode(const NodeId& aNode)
{
  mNodes.erase(aNode);
  mChanged = true;
}

void
RelaySelector::SetWorkerCount(std::size_t aWorkers)
{
  if (mWorkers != aWorkers) {
    mWorkers = aWorkers;
    mChanged = true;
  }
}

void
RelaySelector::OnSilent(const NodeId& aNode, TimePoint aNow)
{
  const auto found = mNodes.find(aNode);
  if (found != mNodes.end()) {
    found->second.mAvoidUntil = aNow + mOptions.mSilentRelayAvoidance;
    mChanged = true;
  }
}

bool
RelaySelector::OwnerCallsAll() const
{
  const double direct =
    mOptions.mOwnerFitness * static_cast<double>(mOptions.mDirectWorkers);
  return static_cast<double>(mWorkers) <= direct;
}

void
RelaySelector::SelectRelays(TimePoint aNow)
{
  mChanged = false;
  mSelectAgainAt = TimePoint::max();
  mRelays.clear();
  mAllRelays.clear();
  std::map<ZoneId, std::vector<const RelayNode*>> zones;
  for (const auto& [id, node] : mNodes) {
    if (node.mAvoidUntil <= aNow) {
      zones[node.mRelay.mZone].push_back(&node.mRelay);
    } else {
      mSelectAgainAt = std::min(mSelectAgainAt, node.mAvoidUntil);
    }
  }
  if (zones.empty()) {
    // The owner's own link may be the cause, and calls that it makes itself
    // would load it more.
    for (const auto& [id, node] : mNodes) {
      zones[node.mRelay.mZone].push_back(&node.mRelay);
    }
  }
  const std::size_t workersPerRound =
    std::max<std::size_t>(mOptions.mWorkersPerRelay * zones.size(), 1);
  const std::size_t perZone =
    (mWorkers + workersPerRound - 1) / workersPerRound;
  for (auto& [zone, nodes] : zones) {
    std::stable_sort(nodes.begin(),
                     nodes.end(),
                     [](const RelayNode* aLeft, const RelayNode* aRight) {
                       return aLeft->mFitness > aRight->mFitness;
                     });
    nodes.resize(std::min(nodes.size(), perZone));
    for (const RelayNode* node : nodes) {
      mRelays[zone].push_back(node->mNode);
      mAllRelays.push_back(node->mNode);
    }
  }
}

const std::vector<NodeId>&
RelaySelector::RelaysOf(const ZoneId& aZone, TimePoint aNow)
{
  if (mChanged || mSelectAgainAt <= aNow) {
    SelectRelays(aNow);
  }
  const auto found = mRelays.find(aZone);
  return found == mRelays.end() ? mAllRelays : found->second;
}

std::optional<NodeId>
RelaySelector::RelayFor(const jobs::WorkerTarget& aWorker, TimePoint aNow)
{
  if (OwnerCallsAll()) {
    return std::nullopt;
  }
  const NodeId* relay = HighestHash(RelaysOf(aWorker.mZone, aNow), aWorker.mId);
  if (relay == nullptr) {
    return std::nullopt;
  }
  return *relay;
}

} // namespace oriolevane::cellnode
