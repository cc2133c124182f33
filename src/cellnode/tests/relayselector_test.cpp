#include "cellnode/relayselector.h"

#include <set>
#include <string>

#include <fmt/format.h>

#include "cellnode/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;
using namespace std::chrono_literals;

namespace {

constexpr int kNodesPerZone = 10;
constexpr int kWorkers = 600;
const std::vector<std::string> kZones{ "a", "b" };

// Two zones. In each, the nodes with a higher number are fitter.
struct Fixture
{
  RelaySelector mSelector;
  TimePoint mNow{ 1000s };

  explicit Fixture(RelaySelectorOptions aOptions = {})
    : mSelector(aOptions)
  {
    for (const std::string& zone : kZones) {
      for (int node = 0; node < kNodesPerZone; ++node) {
        mSelector.AddNode({ .mNode = NodeId(fmt::format("{}{}", zone, node)),
                            .mZone = ZoneId(zone),
                            .mFitness = 0.1 * node });
      }
    }
    mSelector.SetWorkerCount(kWorkers);
  }
  std::optional<NodeId> RelayFor(int aWorker, const std::string& aZone)
  {
    return mSelector.RelayFor({ .mId = WorkerId(fmt::format("w{}", aWorker)),
                                .mAddress = "",
                                .mZone = ZoneId(aZone) },
                              mNow);
  }
  std::set<NodeId> RelaysOf(const std::string& aZone)
  {
    std::set<NodeId> relays;
    for (int worker = 0; worker < kWorkers; ++worker) {
      relays.insert(*RelayFor(worker, aZone));
    }
    return relays;
  }
};

void
DescribeSilentRelays(Section& aRoot)
{
  aRoot.Describe("a relay that leaves calls unanswered", [](Section& aSection) {
    aSection.It("is replaced by another node of its zone for a while", [] {
      Fixture fixture;
      fixture.mSelector.OnSilent(NodeId("a9"), fixture.mNow);
      const std::set<NodeId> relays = fixture.RelaysOf("a");
      CPPUNIT_ASSERT(!relays.contains(NodeId("a9")));
      CPPUNIT_ASSERT(relays.contains(NodeId("a4")));
      fixture.mNow += 3s;
      CPPUNIT_ASSERT(fixture.RelaysOf("a").contains(NodeId("a9")));
    });
    aSection.It("is used again when all others are silent as well", [] {
      // An owner whose own link is full sees all relays as silent.
      Fixture fixture;
      for (const std::string& zone : kZones) {
        for (int node = 0; node < kNodesPerZone; ++node) {
          fixture.mSelector.OnSilent(NodeId(fmt::format("{}{}", zone, node)),
                                     fixture.mNow);
        }
      }
      CPPUNIT_ASSERT(fixture.RelayFor(1, "a").has_value());
    });
  });
}

} // namespace

void
RelaySelectorTests(Section& aRoot)
{
  aRoot.Describe("an owner with few workers", [](Section& aSection) {
    aSection.It("calls them itself", [] {
      Fixture fixture;
      fixture.mSelector.SetWorkerCount(200);
      CPPUNIT_ASSERT(!fixture.RelayFor(1, "a").has_value());
    });
    aSection.It("uses relays when its host is small", [] {
      Fixture fixture({ .mOwnerFitness = 0.1 });
      fixture.mSelector.SetWorkerCount(100);
      CPPUNIT_ASSERT(fixture.RelayFor(1, "a").has_value());
    });
  });
  aRoot.Describe("an owner with many workers", [](Section& aSection) {
    aSection.It("uses the fittest nodes in the zone of each worker", [] {
      Fixture fixture;
      const std::set<NodeId> expected{
        NodeId("a5"), NodeId("a6"), NodeId("a7"), NodeId("a8"), NodeId("a9")
      };
      CPPUNIT_ASSERT(fixture.RelaysOf("a") == expected);
    });
    aSection.It("uses any zone for a worker whose zone has no node", [] {
      Fixture fixture;
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 10 }, fixture.RelaysOf("c").size());
    });
    aSection.It("calls workers itself when no node is linked", [] {
      RelaySelector selector({});
      selector.SetWorkerCount(kWorkers);
      CPPUNIT_ASSERT(!selector.RelayFor({}, TimePoint(1s)).has_value());
    });
    aSection.It("moves only the workers of a node that goes", [] {
      Fixture fixture;
      std::map<int, NodeId> before;
      for (int worker = 0; worker < kWorkers; ++worker) {
        before[worker] = *fixture.RelayFor(worker, "a");
      }
      fixture.mSelector.RemoveNode(NodeId("a7"));
      for (const auto& [worker, relay] : before) {
        const NodeId now = *fixture.RelayFor(worker, "a");
        CPPUNIT_ASSERT(relay == NodeId("a7") || now == relay ||
                       now == NodeId("a4"));
      }
    });
  });
  DescribeSilentRelays(aRoot);
}

} // namespace oriolevane
