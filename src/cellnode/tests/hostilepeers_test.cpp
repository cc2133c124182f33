#include <algorithm>
#include <array>
#include <filesystem>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cellnode/internal/peerlinks.h"
#include "cellnode/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;
using namespace std::chrono_literals;

namespace {

const eventloop::SocketAddress kAddress{ .mHost = "127.0.0.1", .mPort = 17821 };
// Passes of the loop in which a node has certainly served what has arrived.
// All of them together last less than the time that a hello may take.
constexpr int kPasses = 20;
constexpr Duration kPass = 5ms;

// A plain socket that speaks to a node as the test pleases.
class Stranger
{
public:
  Stranger()
    : mSocket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(kAddress.mPort);
    inet_pton(AF_INET, kAddress.mHost.c_str(), &address.sin_addr);
    CPPUNIT_ASSERT_EQUAL(
      0,
      connect(mSocket, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
  }
  Stranger(Stranger&& aOther) noexcept
    : mSocket(std::exchange(aOther.mSocket, -1))
  {
  }
  Stranger(const Stranger&) = delete;
  Stranger& operator=(const Stranger&) = delete;
  Stranger& operator=(Stranger&&) = delete;
  ~Stranger()
  {
    if (mSocket >= 0) {
      close(mSocket);
    }
  }

  // Returns how many bytes the socket has taken.
  std::size_t Send(std::string_view aBytes) const
  {
    const ssize_t sent =
      send(mSocket, aBytes.data(), aBytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    return sent > 0 ? static_cast<std::size_t>(sent) : 0;
  }
  void SendFrame(const std::string& aFrame) const
  {
    SendLength(aFrame.size());
    Send(aFrame);
  }
  void SendLength(std::size_t aBytes) const
  {
    const std::uint32_t length = htonl(static_cast<std::uint32_t>(aBytes));
    Send({ reinterpret_cast<const char*>(&length), sizeof(length) });
  }
  bool IsClosed() const
  {
    std::array<char, 4096> bytes{};
    ssize_t received = 0;
    do {
      received = recv(mSocket, bytes.data(), bytes.size(), MSG_DONTWAIT);
    } while (received > 0);
    return received == 0 || errno != EAGAIN;
  }

private:
  int mSocket;
};

// A node that sends a heartbeat to all linked nodes when told to.
struct Node
{
  eventloop::EventLoop mLoop;
  int mMessages = 0;
  PeerLinks mLinks;

  Node()
    : mLinks(mLoop,
             { .mOnHello = [](const NodeId&, const cellwire::HelloT&) {},
               .mOnMessage = [this](const NodeId&,
                                    const cellwire::MessageT&) { ++mMessages; },
               .mOnClosed = [](const NodeId&) {} })
  {
    cellwire::HelloT hello;
    hello.node = "node";
    hello.incarnation = 1;
    mLinks.SetHello(std::move(hello));
    CPPUNIT_ASSERT(mLinks.Listen(kAddress).ok());
  }

  void RunOnce()
  {
    const auto timer = mLoop.MakeTimer([this] { mLoop.Stop(); });
    timer->StartAfter(kPass);
    mLoop.Run();
  }
  void Run()
  {
    for (int pass = 0; pass < kPasses; ++pass) {
      RunOnce();
    }
  }
  void SendToAll()
  {
    for (const NodeId& node : mLinks.LinkedNodes()) {
      mLinks.Send(node, cellwire::HeartbeatT());
    }
  }
  bool Closes(const Stranger& aStranger)
  {
    for (int pass = 0; pass < kPasses; ++pass) {
      RunOnce();
      if (aStranger.IsClosed()) {
        return true;
      }
    }
    return false;
  }
};

std::string
HelloOf(const std::string& aNode, std::uint64_t aIncarnation = 1)
{
  cellwire::HelloT hello;
  hello.node = aNode;
  hello.incarnation = aIncarnation;
  return EncodeFrame(std::move(hello));
}

std::size_t
OpenDescriptors()
{
  return static_cast<std::size_t>(
    std::distance(std::filesystem::directory_iterator("/proc/self/fd"),
                  std::filesystem::directory_iterator()));
}

void
NameTests(Section& aSection)
{
  // Guards against links that are used after they have been destroyed.
  aSection.It("and has no name is closed", [] {
    Node node;
    const Stranger stranger;
    stranger.SendFrame(HelloOf(""));
    CPPUNIT_ASSERT(node.Closes(stranger));
    CPPUNIT_ASSERT(node.mLinks.LinkedNodes().empty());
    node.SendToAll();
  });
  // Guards against nodes that are linked without a link, and whose number has
  // no bound.
  aSection.It("and takes another name on the same link is closed", [] {
    Node node;
    const Stranger stranger;
    stranger.SendFrame(HelloOf("a"));
    stranger.SendFrame(HelloOf("b"));
    CPPUNIT_ASSERT(node.Closes(stranger));
    CPPUNIT_ASSERT(node.mLinks.LinkedNodes().empty());
    node.SendToAll();
  });
  aSection.It("and takes another incarnation on the same link is closed", [] {
    Node node;
    const Stranger stranger;
    stranger.SendFrame(HelloOf("a"));
    stranger.SendFrame(HelloOf("a", 2));
    CPPUNIT_ASSERT(node.Closes(stranger));
    CPPUNIT_ASSERT(node.mLinks.LinkedNodes().empty());
    node.SendToAll();
  });
}

void
SilentTests(Section& aSection)
{
  aSection.It("and announces a long frame before its hello is closed", [] {
    Node node;
    const Stranger stranger;
    stranger.SendLength(kMaxHelloBytes + 1);
    CPPUNIT_ASSERT(node.Closes(stranger));
  });
  aSection.It("and says nothing gives way to later ones", [] {
    constexpr std::size_t kStrangers = kMaxUnidentifiedLinks + 100;
    constexpr std::size_t kStrangersPerPass = 50;
    Node node;
    const std::size_t before = OpenDescriptors();
    std::vector<Stranger> strangers;
    std::size_t most = 0;
    while (strangers.size() < kStrangers) {
      for (std::size_t count = 0; count < kStrangersPerPass; ++count) {
        strangers.emplace_back();
      }
      node.RunOnce();
      most = std::max(most, OpenDescriptors() - before - strangers.size());
    }
    CPPUNIT_ASSERT(most <= kMaxUnidentifiedLinks + 1);
    CPPUNIT_ASSERT(strangers.front().IsClosed());
    CPPUNIT_ASSERT(!strangers.back().IsClosed());
  });
}

std::string
NameOf(std::size_t aNumber)
{
  return std::string("n").append(std::to_string(aNumber));
}

// The largest part of a frame that stays incomplete.
std::string
PartOfLargestFrame()
{
  return std::string(eventloop::kMaxFramePayloadBytes - 1, 'x');
}

void
SumTests(Section& aSection)
{
  // Guards against many links that each stay within the limit of one.
  aSection.It("in a crowd of long frames without end leaves a bound", [] {
    constexpr std::size_t kStrangers = 12;
    constexpr std::size_t kMostOpen =
      kMaxPartialBytes / eventloop::kMaxFramePayloadBytes + 1;
    Node node;
    std::vector<Stranger> strangers(kStrangers);
    const std::string text = PartOfLargestFrame();
    const std::string_view part = text;
    std::vector<std::size_t> sent(kStrangers, 0);
    for (std::size_t i = 0; i < kStrangers; ++i) {
      strangers[i].SendFrame(HelloOf(NameOf(i)));
      strangers[i].SendLength(eventloop::kMaxFramePayloadBytes);
    }
    for (int pass = 0; pass < 10 * kPasses; ++pass) {
      for (std::size_t i = 0; i < kStrangers; ++i) {
        sent[i] += strangers[i].Send(part.substr(sent[i]));
      }
      node.RunOnce();
    }
    CPPUNIT_ASSERT(static_cast<std::size_t>(std::count_if(
                     strangers.begin(), strangers.end(), [](const auto& aEach) {
                       return !aEach.IsClosed();
                     })) <= kMostOpen);
    CPPUNIT_ASSERT(!node.mLinks.LinkedNodes().empty());
  });
  aSection.It("in a crowd that does not read leaves a bound", [] {
    constexpr std::size_t kStrangers = 12;
    constexpr std::size_t kMessageBytes = 1U << 20U;
    constexpr std::size_t kMessages = 5;
    constexpr std::size_t kMostOpen =
      kMaxQueuedBytes / (kMessages * kMessageBytes) + 1;
    Node node;
    const std::vector<Stranger> strangers(kStrangers);
    for (std::size_t i = 0; i < kStrangers; ++i) {
      strangers[i].SendFrame(HelloOf(NameOf(i)));
    }
    node.Run();
    CPPUNIT_ASSERT_EQUAL(kStrangers, node.mLinks.LinkedNodes().size());
    // The loop does not run, so nothing leaves the node.
    cellwire::CallerAnswerT answer;
    answer.message = std::string(kMessageBytes, 'x');
    for (std::size_t count = 0; count < kMessages; ++count) {
      for (const NodeId& peer : node.mLinks.LinkedNodes()) {
        node.mLinks.Send(peer, answer);
      }
    }
    node.RunOnce();
    CPPUNIT_ASSERT(node.mLinks.LinkedNodes().size() <= kMostOpen);
    CPPUNIT_ASSERT(!node.mLinks.LinkedNodes().empty());
  });
}

} // namespace

void
HostilePeersTests(Section& aRoot)
{
  aRoot.Describe("a peer that connects", [](Section& aSection) {
    NameTests(aSection);
    SilentTests(aSection);
    SumTests(aSection);
  });
}

} // namespace oriolevane
