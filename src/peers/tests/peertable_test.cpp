#include "peers/internal/peertable.h"

#include "peers/tests/stories.h"

namespace oriolevane::peers {

using std::chrono::milliseconds;
using testing::Section;

namespace {

const TimePoint kStart{ std::chrono::hours(1) };

PeerTable
TableOf(const std::string& aNode)
{
  return PeerTable(PeerMeshOptions{ .mNode = NodeId(aNode) });
}

std::vector<PeerMember>
Members(std::uint64_t aIncarnation = 1)
{
  return { { .mNode = NodeId("a"), .mIncarnation = Incarnation(aIncarnation) },
           { .mNode = NodeId("b"),
             .mIncarnation = Incarnation(aIncarnation) } };
}

Introduction
From(const std::string& aPeer,
     ConnectionId aConnection,
     bool aDialled,
     std::uint64_t aIncarnation = 1)
{
  return { .mConnection = aConnection,
           .mPeer = NodeId(aPeer),
           .mIncarnation = Incarnation(aIncarnation),
           .mDialled = aDialled };
}

void
Dials(Section& aSection)
{
  aSection.It("are made at once by the lower id, later by the higher", [] {
    PeerTable lower = TableOf("a");
    PeerTable higher = TableOf("b");
    lower.SetMembers(Members(), kStart);
    higher.SetMembers(Members(), kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, lower.TakeDue(kStart).size());
    CPPUNIT_ASSERT(higher.TakeDue(kStart).empty());
    CPPUNIT_ASSERT_EQUAL(
      std::size_t{ 1 },
      higher.TakeDue(kStart + PeerMeshOptions().mDialGrace).size());
  });
  aSection.It("are not doubled, and back off when they fail", [] {
    PeerTable table = TableOf("a");
    table.SetMembers(Members(), kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, table.TakeDue(kStart).size());
    CPPUNIT_ASSERT(table.TakeDue(kStart).empty());
    table.DialEnded(NodeId("b"), false, kStart);
    CPPUNIT_ASSERT(table.TakeDue(kStart).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         table.TakeDue(kStart + milliseconds(100)).size());
  });
  aSection.It("are made at once to a member that came back", [] {
    PeerTable table = TableOf("a");
    table.SetMembers(Members(), kStart);
    table.TakeDue(kStart);
    table.DialEnded(NodeId("b"), false, kStart);
    table.SetMembers(Members(2), kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, table.TakeDue(kStart).size());
  });
  aSection.It("are not made to nodes that are not listed any more", [] {
    PeerTable table = TableOf("a");
    table.SetMembers(Members(), kStart);
    table.SetMembers({}, kStart);
    CPPUNIT_ASSERT(table.TakeDue(kStart).empty());
  });
}

void
DoubleConnections(Section& aSection)
{
  aSection.It("are judged alike by both ends", [] {
    PeerTable lower = TableOf("a");
    PeerTable higher = TableOf("b");
    constexpr ConnectionId kByLower = 1;
    constexpr ConnectionId kByHigher = 2;
    lower.Introduce(From("b", kByHigher, false), false);
    CPPUNIT_ASSERT(lower.Introduce(From("b", kByLower, true), false) ==
                   Verdict::Replaces);
    higher.Introduce(From("a", kByLower, false), false);
    CPPUNIT_ASSERT(higher.Introduce(From("a", kByHigher, true), false) ==
                   Verdict::Rejected);
    CPPUNIT_ASSERT(lower.Current(NodeId("b")) == kByLower);
    CPPUNIT_ASSERT(higher.Current(NodeId("a")) == kByLower);
  });
  aSection.It("leave the newer one of the same dialler", [] {
    PeerTable table = TableOf("b");
    table.Introduce(From("a", 1, false), false);
    CPPUNIT_ASSERT(table.Introduce(From("a", 2, false), false) ==
                   Verdict::Replaces);
  });
  aSection.It("leave the newer one when the other is doubtful", [] {
    PeerTable table = TableOf("a");
    table.Introduce(From("b", 1, true), false);
    CPPUNIT_ASSERT(table.Introduce(From("b", 2, false), true) ==
                   Verdict::Replaces);
  });
  aSection.It("leave the listed process of a peer", [] {
    PeerTable table = TableOf("a");
    table.SetMembers(Members(2), kStart);
    table.Introduce(From("b", 1, true, 2), false);
    CPPUNIT_ASSERT(table.Introduce(From("b", 2, false, 1), false) ==
                   Verdict::Rejected);
    CPPUNIT_ASSERT(table.Introduce(From("b", 2, false, 3), true) ==
                   Verdict::NewIncarnation);
  });
  aSection.It("don't end a peer when the older one closes", [] {
    PeerTable table = TableOf("b");
    table.Introduce(From("a", 1, false), false);
    table.Introduce(From("a", 2, false), false);
    CPPUNIT_ASSERT(!table.ConnectionClosed(NodeId("a"), 1, kStart).has_value());
    CPPUNIT_ASSERT(table.ConnectionClosed(NodeId("a"), 2, kStart).has_value());
  });
}

} // namespace

void
PeerTableStory(Section& aStory)
{
  aStory.Describe("dials", Dials);
  aStory.Describe("double connections", DoubleConnections);
}

} // namespace oriolevane::peers
