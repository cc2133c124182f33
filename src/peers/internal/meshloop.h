// The thread that serves all connections of a mesh.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>

#include "peers/internal/connection.h"
#include "peers/internal/peertable.h"
#include "peers/internal/sendqueues.h"
#include "peers/internal/wakesocket.h"
#include "peers/types/peermember.h"
#include "peers/types/peermeshhooks.h"
#include "peers/types/peermeshoptions.h"
#include "peers/types/trafficcounters.h"

namespace oriolevane::peers {

// The public methods may be called from any thread.
class MeshLoop
{
public:
  // Throws Poco::Exception when the address can't be listened on.
  MeshLoop(PeerMeshOptions aOptions, PeerMeshHooks aHooks);
  MeshLoop(const MeshLoop&) = delete;
  MeshLoop& operator=(const MeshLoop&) = delete;
  ~MeshLoop();

  std::string Address() const { return mAddress; }
  void SetMembers(std::vector<PeerMember> aMembers);
  bool Send(const NodeId& aTo, QueuedFrame aFrame);
  void CountRefused();
  std::vector<NodeId> Connected() const { return mQueues.OpenPeers(); }
  TrafficCounters Counters() const;

private:
  using Connections = std::map<ConnectionId, std::unique_ptr<Connection>>;

  void Run();
  void Serve(const Poco::Net::PollSet::SocketModeMap& aReady, TimePoint aNow);
  void TakeMembers(TimePoint aNow);
  void Accept(TimePoint aNow);
  void Dial(const PeerMember& aMember, TimePoint aNow);
  void Add(std::unique_ptr<Connection> aConnection, TimePoint aNow);
  void ServeConnection(ConnectionId aId, int aMode, TimePoint aNow);
  absl::Status Receive(ConnectionId aId, TimePoint aNow);
  absl::Status TakeFrame(ConnectionId aId,
                         const FrameView& aFrame,
                         TimePoint aNow);
  absl::Status TakeHello(ConnectionId aId,
                         const FrameView& aFrame,
                         TimePoint aNow);
  absl::Status TakeMessage(const Connection& aConnection,
                           const FrameView& aFrame);
  void Establish(ConnectionId aId, const Introduction& aNew, Verdict aVerdict);
  // Puts waiting messages into the connection and sends what it takes.
  absl::Status Pump(Connection& aConnection, TimePoint aNow);
  void QueueControl(Connection& aConnection, FrameKind aKind, TimePoint aNow);
  void SendFilled(TimePoint aNow);
  void CheckTimes(TimePoint aNow);
  void Watch(Connection& aConnection);
  void Close(ConnectionId aId, const absl::Status& aReason, TimePoint aNow);
  void Drop(ConnectionId aId);
  void TellDown(const NodeId& aPeer, Incarnation aIncarnation);

  const PeerMeshOptions mOptions;
  const PeerMeshHooks mHooks;
  const HealthLimits mLimits;
  const std::string mHello;
  Poco::Net::ServerSocket mServer;
  std::string mAddress;
  WakeSocket mWake;
  Poco::Net::PollSet mPollSet;
  PeerTable mTable;
  Connections mConnections;
  std::map<const Poco::Net::SocketImpl*, ConnectionId> mBySocket;
  ConnectionId mNextConnection = 1;
  std::size_t mPartialBytes = 0;
  TimePoint mNextCheck;

  SendQueues mQueues;
  mutable std::mutex mMutex;
  std::optional<std::vector<PeerMember>> mNewMembers;
  TrafficCounters mCounters;
  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

} // namespace oriolevane::peers
