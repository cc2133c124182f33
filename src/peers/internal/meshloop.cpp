#include "peers/internal/meshloop.h"

#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include "codec/codec.h"
#include "framework/log.h"

namespace oriolevane::peers {

namespace {

using Poco::Net::PollSet;

constexpr int kTickMicroseconds = 100000;
constexpr std::chrono::milliseconds kCheckInterval{ 50 };

} // namespace

MeshLoop::MeshLoop(PeerMeshOptions aOptions, PeerMeshHooks aHooks)
  : mOptions(std::move(aOptions))
  , mHooks(std::move(aHooks))
  , mLimits{ .mPingInterval = mOptions.mPingInterval,
             .mSilenceLimit = mOptions.mSilenceLimit,
             .mStallLimit = mOptions.mStallLimit }
  , mHello(codec::EncodeHello(
      { .mNode = mOptions.mNode, .mIncarnation = mOptions.mIncarnation }))
  , mTable(mOptions)
  , mQueues(mOptions.mQueueFrames, mOptions.mQueueBytes)
{
  mServer.bind(Poco::Net::SocketAddress(mOptions.mListen), true, false);
  mServer.listen();
  mServer.setBlocking(false);
  mAddress = mServer.address().toString();
  mPollSet.add(mServer, PollSet::POLL_READ);
  mPollSet.add(mWake.Socket(), PollSet::POLL_READ);
  mThread = std::thread([this] { Run(); });
}

MeshLoop::~MeshLoop()
{
  mStopping = true;
  mWake.Wake();
  mThread.join();
}

void
MeshLoop::SetMembers(std::vector<PeerMember> aMembers)
{
  {
    const std::lock_guard lock(mMutex);
    mNewMembers = std::move(aMembers);
  }
  mWake.Wake();
}

bool
MeshLoop::Send(const NodeId& aTo, QueuedFrame aFrame)
{
  if (!mQueues.Push(aTo, std::move(aFrame))) {
    CountRefused();
    return false;
  }
  if (mQueues.MarkWoken()) {
    mWake.Wake();
  }
  return true;
}

void
MeshLoop::CountRefused()
{
  const std::lock_guard lock(mMutex);
  ++mCounters.mRefused;
}

TrafficCounters
MeshLoop::Counters() const
{
  const std::lock_guard lock(mMutex);
  return mCounters;
}

void
MeshLoop::Run()
{
  while (!mStopping) {
    const PollSet::SocketModeMap ready = mPollSet.poll(kTickMicroseconds);
    const TimePoint now = std::chrono::steady_clock::now();
    TakeMembers(now);
    Serve(ready, now);
    SendFilled(now);
    if (now >= mNextCheck) {
      mNextCheck = now + kCheckInterval;
      CheckTimes(now);
      for (const PeerMember& member : mTable.TakeDue(now)) {
        Dial(member, now);
      }
    }
  }
}

void
MeshLoop::Serve(const PollSet::SocketModeMap& aReady, TimePoint aNow)
{
  for (const auto& [socket, mode] : aReady) {
    if (socket == mServer) {
      Accept(aNow);
    } else if (socket == mWake.Socket()) {
      mWake.Drain();
    } else if (const auto found = mBySocket.find(socket.impl());
               found != mBySocket.end()) {
      ServeConnection(found->second, mode, aNow);
    }
  }
}

void
MeshLoop::TakeMembers(TimePoint aNow)
{
  std::optional<std::vector<PeerMember>> members;
  {
    const std::lock_guard lock(mMutex);
    members = std::exchange(mNewMembers, std::nullopt);
  }
  if (members.has_value()) {
    mTable.SetMembers(*members, aNow);
    mNextCheck = aNow;
  }
}

void
MeshLoop::Accept(TimePoint aNow)
{
  try {
    Poco::Net::StreamSocket socket = mServer.acceptConnection();
    if (mConnections.size() >= mOptions.mMaxConnections) {
      LogWarning("peer_connection_refused")
        .With("connections", mConnections.size());
      return;
    }
    socket.setBlocking(false);
    socket.setNoDelay(true);
    Add(std::make_unique<Connection>(socket, NodeId(), aNow), aNow);
  } catch (const Poco::Exception& fault) {
    LogDebug("accept_failed").With("reason", fault.displayText());
  }
}

void
MeshLoop::Dial(const PeerMember& aMember, TimePoint aNow)
{
  try {
    Poco::Net::StreamSocket socket;
    socket.connectNB(Poco::Net::SocketAddress(aMember.mAddress));
    socket.setNoDelay(true);
    Add(std::make_unique<Connection>(socket, aMember.mNode, aNow), aNow);
  } catch (const Poco::Exception& fault) {
    LogDebug("dial_failed")
      .With("peer", aMember.mNode)
      .With("reason", fault.displayText());
    mTable.DialEnded(aMember.mNode, false, aNow);
  }
}

void
MeshLoop::Add(std::unique_ptr<Connection> aConnection, TimePoint aNow)
{
  const ConnectionId id = mNextConnection++;
  Connection& added = *aConnection;
  mBySocket[added.Socket().impl()] = id;
  mConnections.emplace(id, std::move(aConnection));
  {
    const std::lock_guard lock(mMutex);
    ++mCounters.mConnectionsOpened;
  }
  QueueControl(added, FrameKind::Hello, aNow);
  const absl::Status sent = added.Flush(aNow);
  if (!sent.ok()) {
    return Close(id, sent, aNow);
  }
  Watch(added);
}

void
MeshLoop::Watch(Connection& aConnection)
{
  const bool wantsWrite =
    aConnection.CurrentStage() == Connection::Stage::Connecting ||
    aConnection.WaitingBytes() > 0;
  const int mode = PollSet::POLL_READ | (wantsWrite ? PollSet::POLL_WRITE : 0);
  if (aConnection.PolledMode() == 0) {
    mPollSet.add(aConnection.Socket(), mode);
  } else if (aConnection.PolledMode() != mode) {
    mPollSet.update(aConnection.Socket(), mode);
  }
  aConnection.SetPolledMode(mode);
}

void
MeshLoop::ServeConnection(ConnectionId aId, int aMode, TimePoint aNow)
{
  Connection& connection = *mConnections.at(aId);
  absl::Status status;
  if (connection.CurrentStage() == Connection::Stage::Connecting) {
    status = connection.FinishConnect(aNow);
  }
  // A mode of errors alone is read out too, which gives the error.
  if (status.ok() && aMode != PollSet::POLL_WRITE) {
    status = Receive(aId, aNow);
  }
  if (status.ok()) {
    status = Pump(connection, aNow);
  }
  if (!status.ok()) {
    return Close(aId, status, aNow);
  }
  Watch(connection);
}

absl::Status
MeshLoop::Receive(ConnectionId aId, TimePoint aNow)
{
  Connection& connection = *mConnections.at(aId);
  const std::size_t before = connection.PartialBytes();
  absl::Status status = connection.Receive(aNow, [&](const FrameView& aFrame) {
    return TakeFrame(aId, aFrame, aNow);
  });
  mPartialBytes += connection.PartialBytes() - before;
  if (status.ok() && mPartialBytes > mOptions.mMaxPartialBytes) {
    return absl::ResourceExhaustedError("too many partly received frames");
  }
  return status;
}

absl::Status
MeshLoop::Pump(Connection& aConnection, TimePoint aNow)
{
  constexpr std::size_t kMostWaiting = 64UL * 1024;
  if (absl::Status sent = aConnection.Flush(aNow); !sent.ok()) {
    return sent;
  }
  const bool isCurrent =
    aConnection.CurrentStage() == Connection::Stage::Established;
  while (isCurrent && aConnection.WaitingBytes() == 0) {
    const std::vector<QueuedFrame> frames =
      mQueues.Take(aConnection.Peer(), kMostWaiting);
    if (frames.empty()) {
      break;
    }
    const std::lock_guard lock(mMutex);
    for (const QueuedFrame& frame : frames) {
      Traffic& traffic = mCounters.mOut[frame.mKind];
      traffic.mBytes +=
        aConnection.Queue(FrameKind::Message, frame.mBody, aNow);
      ++traffic.mFrames;
    }
    if (absl::Status sent = aConnection.Flush(aNow); !sent.ok()) {
      return sent;
    }
  }
  return absl::OkStatus();
}

void
MeshLoop::QueueControl(Connection& aConnection, FrameKind aKind, TimePoint aNow)
{
  const std::string_view body =
    aKind == FrameKind::Hello ? std::string_view(mHello) : std::string_view();
  const std::lock_guard lock(mMutex);
  mCounters.mControlOut.mBytes += aConnection.Queue(aKind, body, aNow);
  ++mCounters.mControlOut.mFrames;
}

void
MeshLoop::SendFilled(TimePoint aNow)
{
  mQueues.ClearWoken();
  for (const NodeId& peer : mQueues.TakeFilled()) {
    const std::optional<ConnectionId> current = mTable.Current(peer);
    if (!current.has_value()) {
      continue;
    }
    Connection& connection = *mConnections.at(*current);
    if (const absl::Status sent = Pump(connection, aNow); !sent.ok()) {
      Close(*current, sent, aNow);
    } else {
      Watch(connection);
    }
  }
}

void
MeshLoop::CheckTimes(TimePoint aNow)
{
  std::vector<std::pair<ConnectionId, absl::Status>> lost;
  for (const auto& [id, connection] : mConnections) {
    absl::Status status;
    if (connection->CurrentStage() != Connection::Stage::Established &&
        aNow - connection->Opened() >= mOptions.mSilenceLimit) {
      lost.emplace_back(id, absl::DeadlineExceededError("no hello"));
      continue;
    }
    switch (connection->CurrentHealth().Judge(aNow, mLimits)) {
      case Health::Fine:
        continue;
      case Health::PingDue:
        if (connection->CurrentStage() != Connection::Stage::Connecting) {
          QueueControl(*connection, FrameKind::Ping, aNow);
          status = connection->Flush(aNow);
        }
        break;
      case Health::Silent:
        status = absl::DeadlineExceededError("silent");
        break;
      case Health::Stalled:
        status = absl::DeadlineExceededError("takes no bytes");
        break;
    }
    if (status.ok()) {
      Watch(*connection);
    } else {
      lost.emplace_back(id, status);
    }
  }
  for (const auto& [id, reason] : lost) {
    Close(id, reason, aNow);
  }
}

} // namespace oriolevane::peers
