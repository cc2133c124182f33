#include "membership/peerhealth.h"

#include "membership/tests/stories.h"

namespace oriolevane::membership {

using std::chrono::seconds;
using testing::Section;

void
PeerHealthStory(Section& aStory)
{
  const NodeId node("n");
  aStory.It("a silent peer is suspect until two heartbeats in a row", [node] {
    PeerHealth health;
    const TimePoint start{ seconds(100) };
    CPPUNIT_ASSERT(health.State(node, start) == PeerState::Unknown);
    health.OnHeartbeat(node, Incarnation(1), start);
    CPPUNIT_ASSERT(health.State(node, start + seconds(3)) == PeerState::Alive);
    CPPUNIT_ASSERT(health.State(node, start + seconds(4)) ==
                   PeerState::Suspect);
    health.OnHeartbeat(node, Incarnation(1), start + seconds(5));
    CPPUNIT_ASSERT(health.State(node, start + seconds(5)) ==
                   PeerState::Suspect);
    health.OnHeartbeat(node, Incarnation(1), start + seconds(6));
    CPPUNIT_ASSERT(health.State(node, start + seconds(6)) == PeerState::Alive);
  });
  aStory.It("a restarted peer is alive at its first heartbeat", [node] {
    PeerHealth health;
    const TimePoint start{ seconds(100) };
    health.OnHeartbeat(node, Incarnation(1), start);
    health.OnHeartbeat(node, Incarnation(2), start + seconds(60));
    CPPUNIT_ASSERT(health.State(node, start + seconds(60)) == PeerState::Alive);
  });
}

} // namespace oriolevane::membership
