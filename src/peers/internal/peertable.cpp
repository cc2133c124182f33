#include "peers/internal/peertable.h"

#include <set>
#include <utility>

namespace oriolevane::peers {

PeerTable::PeerTable(const PeerMeshOptions& aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
{
}

PeerTable::Peer&
PeerTable::Entry(const NodeId& aPeer)
{
  const auto found = mPeers.find(aPeer);
  if (found != mPeers.end()) {
    return found->second;
  }
  const DialBackoff backoff(mOptions.mLeastBackoff, mOptions.mMostBackoff);
  return mPeers.emplace(aPeer, Peer{ .mBackoff = backoff }).first->second;
}

void
PeerTable::ScheduleDial(Peer& aPeer,
                        TimePoint aNow,
                        std::chrono::milliseconds aWait)
{
  const bool isLower =
    aPeer.mMember.has_value() && mOptions.mNode < aPeer.mMember->mNode;
  aPeer.mDialAt =
    aNow + aWait +
    (isLower ? std::chrono::milliseconds(0) : mOptions.mDialGrace);
}

void
PeerTable::SetMembers(const std::vector<PeerMember>& aMembers, TimePoint aNow)
{
  std::set<NodeId> listed;
  for (const PeerMember& member : aMembers) {
    if (member.mNode == mOptions.mNode) {
      continue;
    }
    listed.insert(member.mNode);
    Peer& peer = Entry(member.mNode);
    if (peer.mMember != member) {
      peer.mMember = member;
      peer.mBackoff.Reset();
      ScheduleDial(peer, aNow, std::chrono::milliseconds(0));
    }
  }
  for (auto peer = mPeers.begin(); peer != mPeers.end();) {
    if (!listed.contains(peer->first)) {
      peer->second.mMember.reset();
    }
    const bool isIdle = !peer->second.mMember.has_value() &&
                        !peer->second.mCurrent.has_value() &&
                        !peer->second.mDialling;
    peer = isIdle ? mPeers.erase(peer) : std::next(peer);
  }
}

std::vector<PeerMember>
PeerTable::TakeDue(TimePoint aNow)
{
  std::vector<PeerMember> due;
  for (auto& [node, peer] : mPeers) {
    if (peer.mMember.has_value() && !peer.mCurrent.has_value() &&
        !peer.mDialling && peer.mDialAt <= aNow) {
      peer.mDialling = true;
      due.push_back(*peer.mMember);
    }
  }
  return due;
}

void
PeerTable::DialEnded(const NodeId& aPeer, bool aSucceeded, TimePoint aNow)
{
  const auto found = mPeers.find(aPeer);
  if (found == mPeers.end()) {
    return;
  }
  Peer& peer = found->second;
  peer.mDialling = false;
  if (aSucceeded) {
    peer.mBackoff.Reset();
  } else {
    ScheduleDial(peer, aNow, peer.mBackoff.Next(mRandom));
  }
}

bool
PeerTable::IsDialledByLower(const Introduction& aConnection) const
{
  return aConnection.mDialled == (mOptions.mNode < aConnection.mPeer);
}

Verdict
PeerTable::Introduce(const Introduction& aNew, bool aExistingIsDoubtful)
{
  Peer& peer = Entry(aNew.mPeer);
  if (!peer.mCurrent.has_value()) {
    peer.mCurrent = aNew;
    return Verdict::FirstConnection;
  }
  const Introduction existing = *peer.mCurrent;
  if (existing.mIncarnation != aNew.mIncarnation) {
    const bool existingIsListed =
      peer.mMember.has_value() &&
      peer.mMember->mIncarnation == existing.mIncarnation;
    if (existingIsListed && !aExistingIsDoubtful) {
      return Verdict::Rejected;
    }
    peer.mCurrent = aNew;
    return Verdict::NewIncarnation;
  }
  if (!IsDialledByLower(aNew) && IsDialledByLower(existing) &&
      !aExistingIsDoubtful) {
    return Verdict::Rejected;
  }
  peer.mCurrent = aNew;
  return Verdict::Replaces;
}

std::optional<ConnectionId>
PeerTable::Current(const NodeId& aPeer) const
{
  const auto found = mPeers.find(aPeer);
  if (found == mPeers.end() || !found->second.mCurrent.has_value()) {
    return std::nullopt;
  }
  return found->second.mCurrent->mConnection;
}

std::optional<Introduction>
PeerTable::ConnectionClosed(const NodeId& aPeer,
                            ConnectionId aConnection,
                            TimePoint aNow)
{
  if (Current(aPeer) != aConnection) {
    return std::nullopt;
  }
  Peer& peer = Entry(aPeer);
  std::optional<Introduction> closed = std::exchange(peer.mCurrent, {});
  ScheduleDial(peer, aNow, peer.mBackoff.Next(mRandom));
  if (!peer.mMember.has_value() && !peer.mDialling) {
    mPeers.erase(aPeer);
  }
  return closed;
}

} // namespace oriolevane::peers
