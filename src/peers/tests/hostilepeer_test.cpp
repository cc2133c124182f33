#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include "codec/codec.h"
#include "peers/internal/framing.h"
#include "peers/tests/meshnode.h"
#include "peers/tests/stories.h"

namespace oriolevane::peers {

using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;
using testing::Section;

namespace {

constexpr int kMostPings = 1500;
constexpr long kLongMicroseconds = 30L * 1000 * 1000;

PeerMeshOptions
Impatient()
{
  return { .mPingInterval = std::chrono::milliseconds(50),
           .mSilenceLimit = std::chrono::milliseconds(300),
           .mStallLimit = std::chrono::milliseconds(600) };
}

std::string
HelloFrame(const std::string& aNode,
           std::uint32_t aVersion = codec::kProtocolVersion)
{
  std::string frame;
  AppendFrame(frame,
              FrameKind::Hello,
              codec::EncodeHello({ .mProtocolVersion = aVersion,
                                   .mNode = NodeId(aNode),
                                   .mIncarnation = Incarnation(1) }));
  return frame;
}

// Reads until the mesh closes the connection.
bool
IsClosed(StreamSocket& aSocket)
{
  aSocket.setReceiveTimeout(kLongMicroseconds);
  std::string bytes(4096, '\0');
  try {
    while (aSocket.receiveBytes(bytes.data(), 4096) > 0) {
    }
    return true;
  } catch (const Poco::TimeoutException&) {
    return false;
  } catch (const Poco::Exception&) {
    return true;
  }
}

// True when the mesh closes a connection that these bytes came over.
bool
IsRefused(const std::string& aBytes)
{
  MeshNode node("m");
  StreamSocket socket{ SocketAddress(node.mMesh->Address()) };
  socket.sendBytes(aBytes.data(), static_cast<int>(aBytes.size()));
  const bool closed = IsClosed(socket);
  CPPUNIT_ASSERT(node.mMessages.empty());
  return closed;
}

std::string
MessageFrame(const std::string& aBody)
{
  std::string frame;
  AppendFrame(frame, FrameKind::Message, aBody);
  return frame;
}

void
Refused(Section& aSection)
{
  aSection.It("when they speak another protocol",
              [] { CPPUNIT_ASSERT(IsRefused("GET / HTTP/1.1\r\n\r\n")); });
  aSection.It("when they speak another version", [] {
    CPPUNIT_ASSERT(IsRefused(HelloFrame("x", codec::kProtocolVersion + 1)));
  });
  aSection.It("when they claim to be the node itself",
              [] { CPPUNIT_ASSERT(IsRefused(HelloFrame("m"))); });
  aSection.It("when they send a message before the hello", [] {
    const std::string body =
      *codec::Encode({ .mFrom = NodeId("x") }, codec::ConfigurationPull{});
    CPPUNIT_ASSERT(IsRefused(MessageFrame(body)));
  });
  aSection.It("when they announce an endless frame", [] {
    CPPUNIT_ASSERT(IsRefused(HelloFrame("x") + "\xff\xff\xff\xff"));
  });
  aSection.It("when their message can't be decoded", [] {
    CPPUNIT_ASSERT(IsRefused(HelloFrame("x") + MessageFrame("nonsense")));
  });
  aSection.It("when they speak for another node", [] {
    const std::string body = *codec::Encode(
      { .mFrom = NodeId("y"), .mFromIncarnation = Incarnation(1) },
      codec::ConfigurationPull{});
    CPPUNIT_ASSERT(IsRefused(HelloFrame("x") + MessageFrame(body)));
  });
  aSection.It("when they never introduce themselves",
              [] { CPPUNIT_ASSERT(IsRefused("")); });
  aSection.It("when there are too many of them", [] {
    PeerMeshOptions options;
    options.mMaxConnections = 3;
    options.mSilenceLimit = std::chrono::hours(1);
    MeshNode node("m", 1, options);
    std::vector<StreamSocket> sockets;
    sockets.reserve(4);
    for (int i = 0; i < 4; ++i) {
      sockets.emplace_back(SocketAddress(node.mMesh->Address()));
    }
    CPPUNIT_ASSERT(IsClosed(sockets.back()));
  });
}

void
Silent(Section& aSection)
{
  aSection.It("connections are closed and dialled anew", [] {
    Poco::Net::ServerSocket server{ SocketAddress("127.0.0.1:0") };
    MeshNode node("a", 1, Impatient());
    node.mMesh->SetMembers({ { .mNode = NodeId("b"),
                               .mIncarnation = Incarnation(1),
                               .mAddress = server.address().toString() } });
    const std::string hello = HelloFrame("b");
    for (int round = 1; round <= 3; ++round) {
      StreamSocket silent = server.acceptConnection();
      silent.sendBytes(hello.data(), static_cast<int>(hello.size()));
      CPPUNIT_ASSERT(node.WaitForUps(round));
      CPPUNIT_ASSERT(node.WaitForDowns(round));
      CPPUNIT_ASSERT(IsClosed(silent));
    }
  });
  aSection.It("dials that are accepted but never answered are repeated", [] {
    Poco::Net::ServerSocket server{ SocketAddress("127.0.0.1:0") };
    MeshNode node("a", 1, Impatient());
    node.mMesh->SetMembers({ { .mNode = NodeId("b"),
                               .mIncarnation = Incarnation(1),
                               .mAddress = server.address().toString() } });
    for (int round = 0; round < 3; ++round) {
      StreamSocket silent = server.acceptConnection();
      CPPUNIT_ASSERT(IsClosed(silent));
    }
  });
  aSection.It("readers that still send pings are closed as stalled", [] {
    MeshNode node("m", 1, Impatient());
    StreamSocket socket;
    socket.connect(SocketAddress(node.mMesh->Address()));
    const std::string hello = HelloFrame("x");
    socket.sendBytes(hello.data(), static_cast<int>(hello.size()));
    CPPUNIT_ASSERT(node.WaitForUps(1));
    const codec::PeerMessage large =
      codec::ConfigurationBody{ .mBytes = std::string(3000000, 'x') };
    for (int i = 0; i < 20; ++i) {
      node.mMesh->Send(NodeId("x"), large);
    }
    std::string ping;
    AppendFrame(ping, FrameKind::Ping, "");
    try {
      for (int i = 0; i < kMostPings; ++i) {
        socket.sendBytes(ping.data(), static_cast<int>(ping.size()));
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
      }
      CPPUNIT_FAIL("the connection was not closed");
    } catch (const Poco::Exception&) {
      CPPUNIT_ASSERT(node.WaitForDowns(1));
    }
  });
}

} // namespace

void
HostilePeerStory(Section& aStory)
{
  aStory.Describe("are refused", Refused);
  aStory.Describe("silent", Silent);
}

} // namespace oriolevane::peers
