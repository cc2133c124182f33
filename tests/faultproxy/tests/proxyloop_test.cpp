#include "faultproxy/proxyloop.h"

#include <optional>
#include <thread>

#include <Poco/Exception.h>

#include "faultproxy/tests/stories.h"
#include "peers/tests/meshnode.h"

namespace oriolevane::faultproxy {

using Poco::Net::ServerSocket;
using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;
using testing::Section;

namespace {

constexpr long kLongMicroseconds = 30L * 1000 * 1000;
constexpr long kQuietMicroseconds = 100L * 1000;

// A target behind the proxy, and a connection through it.
struct Bench
{
  ServerSocket mTarget{ SocketAddress("127.0.0.1:0") };
  ProxyLoop mProxy{ { { .mName = "l",
                        .mListen = "127.0.0.1:0",
                        .mTarget = mTarget.address().toString() } },
                    1 };

  StreamSocket Dial() const
  {
    StreamSocket socket{ SocketAddress(mProxy.Address("l")) };
    socket.setReceiveTimeout(kLongMicroseconds);
    return socket;
  }
  StreamSocket Accept()
  {
    StreamSocket socket = mTarget.acceptConnection();
    socket.setReceiveTimeout(kLongMicroseconds);
    return socket;
  }
};

void
Say(StreamSocket& aSocket, const std::string& aText)
{
  aSocket.sendBytes(aText.data(), static_cast<int>(aText.size()));
}

// Reads this many bytes, or fewer when the stream ends or breaks.
std::string
Hear(StreamSocket& aSocket, std::size_t aLength)
{
  std::string text(aLength, '\0');
  std::size_t at = 0;
  try {
    while (at < aLength) {
      const int received =
        aSocket.receiveBytes(text.data() + at, static_cast<int>(aLength - at));
      if (received <= 0) {
        break;
      }
      at += static_cast<std::size_t>(received);
    }
  } catch (const Poco::Exception&) {
    // A reset ends the stream as well.
  }
  return text.substr(0, at);
}

bool
IsQuiet(StreamSocket& aSocket)
{
  return !aSocket.poll(Poco::Timespan(kQuietMicroseconds),
                       Poco::Net::Socket::SELECT_READ);
}

void
Carries(Section& aSection)
{
  aSection.It("bytes and the end of the stream, both ways", [] {
    Bench bench;
    StreamSocket client = bench.Dial();
    StreamSocket target = bench.Accept();
    const std::string large(3000000, 'x');
    std::thread sender([&] { Say(client, large); });
    CPPUNIT_ASSERT(Hear(target, large.size()) == large);
    sender.join();
    Say(target, "back");
    CPPUNIT_ASSERT_EQUAL(std::string("back"), Hear(client, 4));
    client.shutdownSend();
    CPPUNIT_ASSERT_EQUAL(std::string(), Hear(target, 1));
  });
  aSection.It("bytes in order with delay, jitter and a bounded rate", [] {
    Bench bench;
    bench.mProxy.ChangeFaults("*", [](LinkFaults& aFaults) {
      aFaults.mDelay = std::chrono::milliseconds(2);
      aFaults.mJitter = std::chrono::milliseconds(5);
      aFaults.mBytesPerSecond = 100000;
    });
    StreamSocket client = bench.Dial();
    StreamSocket target = bench.Accept();
    std::string sent;
    for (int i = 0; i < 200; ++i) {
      Say(client, std::to_string(i) + ";");
      sent += std::to_string(i) + ";";
    }
    CPPUNIT_ASSERT_EQUAL(sent, Hear(target, sent.size()));
  });
}

void
Harms(Section& aSection)
{
  aSection.It("one direction alone when silent, and makes up for it", [] {
    Bench bench;
    StreamSocket client = bench.Dial();
    StreamSocket target = bench.Accept();
    bench.mProxy.ChangeFaults(
      "l", [](LinkFaults& aFaults) { aFaults.mSilentUp = true; });
    Say(client, "held");
    Say(target, "goes");
    CPPUNIT_ASSERT_EQUAL(std::string("goes"), Hear(client, 4));
    CPPUNIT_ASSERT(IsQuiet(target));
    bench.mProxy.ChangeFaults(
      "l", [](LinkFaults& aFaults) { aFaults = LinkFaults(); });
    CPPUNIT_ASSERT_EQUAL(std::string("held"), Hear(target, 4));
  });
  aSection.It("existing connections for good while new ones work", [] {
    Bench bench;
    StreamSocket old = bench.Dial();
    StreamSocket oldTarget = bench.Accept();
    bench.mProxy.SilenceExisting("l");
    StreamSocket fresh = bench.Dial();
    StreamSocket freshTarget = bench.Accept();
    Say(old, "lost");
    old.close();
    Say(fresh, "goes");
    CPPUNIT_ASSERT_EQUAL(std::string("goes"), Hear(freshTarget, 4));
    CPPUNIT_ASSERT(IsQuiet(oldTarget));
  });
  aSection.It("all connections when cut", [] {
    Bench bench;
    StreamSocket client = bench.Dial();
    StreamSocket target = bench.Accept();
    bench.mProxy.ChangeFaults(
      "l", [](LinkFaults& aFaults) { aFaults.mMode = LinkMode::Cut; });
    CPPUNIT_ASSERT_EQUAL(std::string(), Hear(client, 1));
    CPPUNIT_ASSERT_EQUAL(std::string(), Hear(target, 1));
    StreamSocket refused = bench.Dial();
    CPPUNIT_ASSERT_EQUAL(std::string(), Hear(refused, 1));
  });
  aSection.It("new connections when half open", [] {
    Bench bench;
    bench.mProxy.ChangeFaults(
      "l", [](LinkFaults& aFaults) { aFaults.mMode = LinkMode::HalfOpen; });
    StreamSocket client = bench.Dial();
    Say(client, "lost");
    CPPUNIT_ASSERT(IsQuiet(client));
    CPPUNIT_ASSERT(!bench.mTarget.poll(Poco::Timespan(kQuietMicroseconds),
                                       Poco::Net::Socket::SELECT_READ));
  });
}

void
Mesh(Section& aSection)
{
  aSection.It("replaces a connection that fell silent for good", [] {
    peers::MeshNode left("a");
    peers::MeshNode right("b");
    ProxyLoop proxy({ { .mName = "l",
                        .mListen = "127.0.0.1:0",
                        .mTarget = right.mMember.mAddress } },
                    1);
    peers::PeerMember behind = right.mMember;
    behind.mAddress = proxy.Address("l");
    left.mMesh->SetMembers({ behind });
    CPPUNIT_ASSERT(left.WaitForUps(1));
    CPPUNIT_ASSERT(right.WaitForUps(1));
    proxy.SilenceExisting("l");
    CPPUNIT_ASSERT(left.WaitForDowns(1));
    CPPUNIT_ASSERT(left.WaitForUps(2));
    const codec::PeerMessage message =
      codec::ConfigurationPull{ .mVersion = ConfigurationVersion(5) };
    CPPUNIT_ASSERT(left.mMesh->Send(NodeId("b"), message));
    CPPUNIT_ASSERT(right.WaitForMessages(1));
  });
}

} // namespace

void
ProxyStory(Section& aStory)
{
  aStory.Describe("carries", Carries);
  aStory.Describe("harms", Harms);
  aStory.Describe("a mesh behind it", Mesh);
}

} // namespace oriolevane::faultproxy
