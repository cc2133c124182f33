#include "peers/peermesh.h"

#include "codec/tests/randommessages.h"
#include "peers/tests/meshnode.h"
#include "peers/tests/stories.h"

namespace oriolevane::peers {

using testing::Section;

namespace {

codec::PeerMessage
Pull(std::uint64_t aVersion)
{
  return codec::ConfigurationPull{ .mVersion = ConfigurationVersion(aVersion) };
}

void
Connect(MeshNode& aLeft, MeshNode& aRight)
{
  aLeft.mMesh->SetMembers({ aLeft.mMember, aRight.mMember });
  aRight.mMesh->SetMembers({ aLeft.mMember, aRight.mMember });
  CPPUNIT_ASSERT(aLeft.WaitForUps(1));
  CPPUNIT_ASSERT(aRight.WaitForUps(1));
}

void
Messages(Section& aSection)
{
  aSection.It("of every kind go both ways in order", [] {
    MeshNode left("a");
    MeshNode right("b");
    Connect(left, right);
    codec::RandomMessages random(1);
    std::vector<codec::PeerMessage> sent;
    for (std::size_t i = 0; i < 3 * codec::RandomMessages::kKinds; ++i) {
      sent.push_back(random.Message(i));
      CPPUNIT_ASSERT(left.mMesh->Send(NodeId("b"), sent.back()));
      CPPUNIT_ASSERT(right.mMesh->Send(NodeId("a"), sent.back()));
    }
    CPPUNIT_ASSERT(left.WaitForMessages(sent.size()));
    CPPUNIT_ASSERT(right.WaitForMessages(sent.size()));
    CPPUNIT_ASSERT(left.mMessages == sent);
    CPPUNIT_ASSERT(right.mMessages == sent);
    const TrafficCounters counters = left.mMesh->Counters();
    CPPUNIT_ASSERT_EQUAL(counters.mIn[0].mBytes, counters.mOut[0].mBytes);
    CPPUNIT_ASSERT(counters.mIn[0].mFrames > 0);
  });
  aSection.It("of many megabytes arrive whole", [] {
    MeshNode left("a");
    MeshNode right("b");
    Connect(left, right);
    const codec::PeerMessage large =
      codec::ConfigurationBody{ .mBytes = std::string(3UL * 1024 * 1024, 'x') };
    CPPUNIT_ASSERT(left.mMesh->Send(NodeId("b"), large));
    CPPUNIT_ASSERT(left.mMesh->Send(NodeId("b"), large));
    CPPUNIT_ASSERT(right.WaitForMessages(2));
    CPPUNIT_ASSERT(right.mMessages[1] == large);
  });
  aSection.It("to a node without a connection are refused", [] {
    MeshNode left("a");
    CPPUNIT_ASSERT(!left.mMesh->Send(NodeId("b"), Pull(1)));
  });
}

void
Members(Section& aSection)
{
  aSection.It("are all connected, once a pair", [] {
    constexpr int kNodes = 8;
    std::vector<std::unique_ptr<MeshNode>> nodes;
    std::vector<PeerMember> members;
    for (int i = 0; i < kNodes; ++i) {
      nodes.push_back(std::make_unique<MeshNode>("n" + std::to_string(i)));
      members.push_back(nodes.back()->mMember);
    }
    for (const auto& node : nodes) {
      node->mMesh->SetMembers(members);
    }
    for (const auto& node : nodes) {
      CPPUNIT_ASSERT(node->WaitForUps(kNodes - 1));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ kNodes - 1 },
                           node->mMesh->Connected().size());
    }
  });
  aSection.It("that only one side lists are connected too", [] {
    MeshNode joined("a");
    MeshNode joining("b");
    joining.mMesh->SetMembers({ joined.mMember });
    CPPUNIT_ASSERT(joined.WaitForUps(1));
    CPPUNIT_ASSERT(joining.WaitForUps(1));
    CPPUNIT_ASSERT(joined.mMesh->Send(NodeId("b"), Pull(7)));
    CPPUNIT_ASSERT(joining.WaitForMessages(1));
  });
  aSection.It("that restart are told as down and up again", [] {
    MeshNode left("a");
    auto right = std::make_unique<MeshNode>("b", 1);
    Connect(left, *right);
    right.reset();
    CPPUNIT_ASSERT(left.WaitForDowns(1));
    MeshNode again("b", 2);
    left.mMesh->SetMembers({ left.mMember, again.mMember });
    CPPUNIT_ASSERT(left.WaitForUps(2));
    CPPUNIT_ASSERT(again.WaitForUps(1));
  });
}

} // namespace

void
PeerMeshStory(Section& aStory)
{
  aStory.Describe("messages", Messages);
  aStory.Describe("members", Members);
}

} // namespace oriolevane::peers
