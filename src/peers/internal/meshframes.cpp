#include <utility>

#include <fmt/format.h>

#include "codec/codec.h"
#include "framework/log.h"
#include "peers/internal/meshloop.h"

namespace oriolevane::peers {

absl::Status
MeshLoop::TakeFrame(ConnectionId aId, const FrameView& aFrame, TimePoint aNow)
{
  const Connection& connection = *mConnections.at(aId);
  if (aFrame.mKind == FrameKind::Message) {
    return TakeMessage(connection, aFrame);
  }
  {
    const std::lock_guard lock(mMutex);
    ++mCounters.mControlIn.mFrames;
    mCounters.mControlIn.mBytes += aFrame.mBody.size() + kFrameOverhead;
  }
  if (aFrame.mKind == FrameKind::Hello) {
    return TakeHello(aId, aFrame, aNow);
  }
  return absl::OkStatus();
}

absl::Status
MeshLoop::TakeHello(ConnectionId aId, const FrameView& aFrame, TimePoint aNow)
{
  Connection& connection = *mConnections.at(aId);
  if (connection.CurrentStage() == Connection::Stage::Established) {
    return absl::InvalidArgumentError("a second hello");
  }
  const absl::StatusOr<codec::Hello> hello = codec::DecodeHello(aFrame.mBody);
  if (!hello.ok()) {
    return hello.status();
  }
  if (hello->mProtocolVersion != codec::kProtocolVersion) {
    return absl::FailedPreconditionError(
      fmt::format("speaks protocol version {}", hello->mProtocolVersion));
  }
  const bool isOther =
    connection.IsDialled() && hello->mNode != connection.Expected();
  if (isOther || hello->mNode == mOptions.mNode) {
    return absl::FailedPreconditionError(
      fmt::format("introduced itself as {}", hello->mNode));
  }
  const Introduction introduction{ .mConnection = aId,
                                   .mPeer = hello->mNode,
                                   .mIncarnation = hello->mIncarnation,
                                   .mDialled = connection.IsDialled() };
  const std::optional<ConnectionId> existing = mTable.Current(hello->mNode);
  const bool existingIsDoubtful =
    existing.has_value() &&
    mConnections.at(*existing)->CurrentHealth().IsDoubtful(aNow, mLimits);
  const Verdict verdict = mTable.Introduce(introduction, existingIsDoubtful);
  if (verdict == Verdict::Rejected) {
    return absl::AlreadyExistsError("another connection is up");
  }
  if (connection.IsDialled()) {
    mTable.DialEnded(hello->mNode, true, aNow);
  }
  if (existing.has_value()) {
    const Incarnation incarnation =
      mConnections.at(*existing)->PeerIncarnation();
    Drop(*existing);
    if (verdict == Verdict::NewIncarnation) {
      TellDown(hello->mNode, incarnation);
    }
  }
  Establish(aId, introduction, verdict);
  return absl::OkStatus();
}

void
MeshLoop::Establish(ConnectionId aId,
                    const Introduction& aNew,
                    Verdict aVerdict)
{
  Connection& connection = *mConnections.at(aId);
  connection.Establish(aNew.mPeer, aNew.mIncarnation);
  LogInfo("peer_connected")
    .With("peer", aNew.mPeer)
    .With("incarnation", aNew.mIncarnation)
    .With("dialled", aNew.mDialled)
    .With("replaces", aVerdict != Verdict::FirstConnection);
  if (aVerdict == Verdict::Replaces) {
    return;
  }
  mQueues.Open(aNew.mPeer);
  mHooks.mOnPeerState(aNew.mPeer, aNew.mIncarnation, PeerState::Up);
}

absl::Status
MeshLoop::TakeMessage(const Connection& aConnection, const FrameView& aFrame)
{
  if (aConnection.CurrentStage() != Connection::Stage::Established) {
    return absl::FailedPreconditionError("a message before the hello");
  }
  absl::StatusOr<codec::PeerFrame> frame = codec::Decode(aFrame.mBody);
  if (!frame.ok()) {
    return frame.status();
  }
  const codec::Envelope from{ .mFrom = aConnection.Peer(),
                              .mFromIncarnation =
                                aConnection.PeerIncarnation() };
  if (frame->mEnvelope != codec::Envelope() && frame->mEnvelope != from) {
    return absl::InvalidArgumentError("a message of another node");
  }
  {
    const std::lock_guard lock(mMutex);
    Traffic& traffic = mCounters.mIn[frame->mMessage.index()];
    ++traffic.mFrames;
    traffic.mBytes += aFrame.mBody.size() + kFrameOverhead;
  }
  mHooks.mOnMessage(from, std::move(frame->mMessage));
  return absl::OkStatus();
}

void
MeshLoop::Close(ConnectionId aId, const absl::Status& aReason, TimePoint aNow)
{
  const Connection& connection = *mConnections.at(aId);
  const bool wasIntroduced =
    connection.CurrentStage() == Connection::Stage::Established;
  const NodeId peer = wasIntroduced ? connection.Peer() : connection.Expected();
  LogEvent(wasIntroduced ? LogLevel::Info : LogLevel::Debug,
           "peer_connection_closed")
    .With("peer", peer)
    .With("reason", aReason.ToString());
  if (connection.IsDialled() && !wasIntroduced) {
    mTable.DialEnded(peer, false, aNow);
  }
  const std::optional<Introduction> closed =
    mTable.ConnectionClosed(peer, aId, aNow);
  Drop(aId);
  if (closed.has_value()) {
    TellDown(closed->mPeer, closed->mIncarnation);
  }
}

void
MeshLoop::TellDown(const NodeId& aPeer, Incarnation aIncarnation)
{
  const std::size_t dropped = mQueues.Close(aPeer);
  {
    const std::lock_guard lock(mMutex);
    mCounters.mDropped += dropped;
  }
  mHooks.mOnPeerState(aPeer, aIncarnation, PeerState::Down);
}

void
MeshLoop::Drop(ConnectionId aId)
{
  const auto found = mConnections.find(aId);
  Connection& connection = *found->second;
  mPartialBytes -= connection.PartialBytes();
  mBySocket.erase(connection.Socket().impl());
  if (connection.PolledMode() != 0) {
    mPollSet.remove(connection.Socket());
  }
  mConnections.erase(found);
  const std::lock_guard lock(mMutex);
  ++mCounters.mConnectionsClosed;
}

} // namespace oriolevane::peers
