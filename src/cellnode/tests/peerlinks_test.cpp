#include "cellnode/internal/peerlinks.h"
#include "cellnode/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;
using namespace std::chrono_literals;

namespace {

// A node that answers each hello with a numbered message.
struct TestNode
{
  eventloop::SocketAddress mAddress;
  NodeId mPeer;
  int mSent = 0;
  int mReceived = 0;
  int mHellos = 0;
  int mClosed = 0;
  PeerLinks mLinks;

  TestNode(eventloop::EventLoop& aLoop,
           const std::string& aName,
           std::uint16_t aPort,
           std::uint64_t aIncarnation = 1)
    : mAddress{ .mHost = "127.0.0.1", .mPort = aPort }
    , mLinks(aLoop,
             { .mOnHello =
                 [this](const NodeId& aNode, const cellwire::HelloT&) {
                   ++mHellos;
                   SendTo(aNode);
                 },
               .mOnMessage = [this](const NodeId&,
                                    const cellwire::MessageT&) { ++mReceived; },
               .mOnClosed = [this](const NodeId&) { ++mClosed; } })
  {
    cellwire::HelloT hello;
    hello.node = aName;
    hello.incarnation = aIncarnation;
    mLinks.SetHello(std::move(hello));
    CPPUNIT_ASSERT(mLinks.Listen(mAddress).ok());
  }

  void SendTo(const NodeId& aNode)
  {
    mPeer = aNode;
    mSent += mLinks.Send(aNode, cellwire::HeartbeatT()) ? 1 : 0;
  }
};

void
RunFor(eventloop::EventLoop& aLoop, Duration aTime)
{
  const auto timer = aLoop.MakeTimer([&aLoop] { aLoop.Stop(); });
  timer->StartAfter(aTime);
  aLoop.Run();
}

} // namespace

void
PeerLinksTests(Section& aRoot)
{
  aRoot.Describe("two nodes that connect to each other at once",
                 [](Section& aSection) {
                   aSection.It("receive all that either sends", [] {
                     eventloop::EventLoop loop;
                     TestNode first(loop, "n1", 17811);
                     TestNode second(loop, "n2", 17812);
                     first.mLinks.Connect(second.mAddress);
                     second.mLinks.Connect(first.mAddress);
                     RunFor(loop, 200ms);
                     first.SendTo(NodeId("n2"));
                     second.SendTo(NodeId("n1"));
                     RunFor(loop, 100ms);
                     CPPUNIT_ASSERT(first.mSent >= 2 && second.mSent >= 2);
                     CPPUNIT_ASSERT_EQUAL(first.mSent, second.mReceived);
                     CPPUNIT_ASSERT_EQUAL(second.mSent, first.mReceived);
                     CPPUNIT_ASSERT_EQUAL(0, first.mClosed + second.mClosed);
                   });
                 });
  aRoot.Describe("a node that has restarted", [](Section& aSection) {
    aSection.It("is reported as closed before its new hello", [] {
      eventloop::EventLoop loop;
      TestNode node(loop, "n1", 17813);
      TestNode process(loop, "n2", 17814);
      TestNode next(loop, "n2", 17815, 2);
      process.mLinks.Connect(node.mAddress);
      RunFor(loop, 100ms);
      next.mLinks.Connect(node.mAddress);
      RunFor(loop, 100ms);
      CPPUNIT_ASSERT_EQUAL(1, node.mClosed);
      CPPUNIT_ASSERT_EQUAL(2, node.mHellos);
      CPPUNIT_ASSERT(node.mLinks.IsLinked(NodeId("n2")));
      const int before = next.mReceived;
      node.SendTo(NodeId("n2"));
      RunFor(loop, 100ms);
      CPPUNIT_ASSERT_EQUAL(before + 1, next.mReceived);
    });
  });
  aRoot.Describe("a node with a second link", [](Section& aSection) {
    aSection.It("is announced again when one of them closes", [] {
      eventloop::EventLoop loop;
      TestNode node(loop, "n1", 17816);
      TestNode peer(loop, "n2", 17817);
      // Another process under the same incarnation stands for a second link.
      auto other = std::make_unique<TestNode>(loop, "n2", 17818);
      peer.mLinks.Connect(node.mAddress);
      RunFor(loop, 100ms);
      other->mLinks.Connect(node.mAddress);
      RunFor(loop, 100ms);
      CPPUNIT_ASSERT_EQUAL(0, node.mClosed);
      other.reset();
      RunFor(loop, 100ms);
      CPPUNIT_ASSERT_EQUAL(1, node.mClosed);
      CPPUNIT_ASSERT_EQUAL(2, node.mHellos);
      const int before = peer.mReceived;
      node.SendTo(NodeId("n2"));
      RunFor(loop, 100ms);
      CPPUNIT_ASSERT_EQUAL(before + 1, peer.mReceived);
    });
  });
}

} // namespace oriolevane
