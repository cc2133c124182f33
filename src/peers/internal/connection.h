// One TCP connection between two nodes.
#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include <Poco/Net/StreamSocket.h>
#include <absl/status/status.h>

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "peers/internal/connectionhealth.h"
#include "peers/internal/framing.h"

namespace oriolevane::peers {

// Used by the mesh's thread alone. The socket does not block. Before the hello
// of the other end only short frames are taken.
class Connection
{
public:
  enum class Stage
  {
    Connecting,
    AwaitingHello,
    Established
  };
  using OnFrame = std::function<absl::Status(const FrameView&)>;

  // aExpected: the node that was dialled, empty for an accepted connection.
  Connection(const Poco::Net::StreamSocket& aSocket,
             NodeId aExpected,
             TimePoint aNow);

  const Poco::Net::StreamSocket& Socket() const { return mSocket; }
  Stage CurrentStage() const { return mStage; }
  TimePoint Opened() const { return mOpened; }
  bool IsDialled() const { return !mExpected.Empty(); }
  const NodeId& Expected() const { return mExpected; }
  // Of the other end's hello.
  const NodeId& Peer() const { return mPeer; }
  Incarnation PeerIncarnation() const { return mPeerIncarnation; }
  const ConnectionHealth& CurrentHealth() const { return mHealth; }
  std::size_t PartialBytes() const { return mReader.BufferedBytes(); }
  std::size_t WaitingBytes() const { return mOut.size() - mOutAt; }

  // After the connect of a dial; the fault when it failed.
  absl::Status FinishConnect(TimePoint aNow);
  void Establish(NodeId aPeer, Incarnation aIncarnation);

  // Reads what has come in, up to a limit, and gives out whole frames. A fault
  // of the socket, of the framing or of aOnFrame means that the connection is
  // to be closed.
  absl::Status Receive(TimePoint aNow, const OnFrame& aOnFrame);
  // Puts a frame up for sending; returns its length on the wire.
  std::size_t Queue(FrameKind aKind, std::string_view aBody, TimePoint aNow);
  // Sends as much as the socket takes.
  absl::Status Flush(TimePoint aNow);

  // What the poll set watches for; kept here to skip changes that are none.
  int PolledMode() const { return mPolledMode; }
  void SetPolledMode(int aMode) { mPolledMode = aMode; }

private:
  absl::Status GiveOutFrames(const OnFrame& aOnFrame);

  Poco::Net::StreamSocket mSocket;
  NodeId mExpected;
  TimePoint mOpened;
  Stage mStage;
  NodeId mPeer;
  Incarnation mPeerIncarnation;
  ConnectionHealth mHealth;
  FrameReader mReader;
  std::string mOut;
  std::size_t mOutAt = 0;
  int mPolledMode = 0;
};

} // namespace oriolevane::peers
