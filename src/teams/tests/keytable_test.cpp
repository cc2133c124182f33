#include "teams/keytable.h"

#include <fmt/format.h>

#include "teams/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace teams;

void
KeyTableTests(Section& aRoot)
{
  aRoot.Describe("the key table", [](Section& aSection) {
    aSection.It("finds the team of each of its keys", [] {
      const KeyTable table({ { .mName = TeamId("a"), .mKeys = { "k1", "k2" } },
                             { .mName = TeamId("b"), .mKeys = { "k3" } } },
                           7);
      CPPUNIT_ASSERT(table.Find("k1") == TeamId("a"));
      CPPUNIT_ASSERT(table.Find("k2") == TeamId("a"));
      CPPUNIT_ASSERT(table.Find("k3") == TeamId("b"));
    });
    // A comparison of a part of the key would accept these.
    aSection.It("does not find a part or an extension of a key", [] {
      const KeyTable table({ { .mName = TeamId("a"), .mKeys = { "key" } } }, 7);
      using namespace std::string_view_literals;
      for (const std::string_view key :
           { ""sv, "k"sv, "ke"sv, "keys"sv, "Key"sv, "key\0"sv }) {
        CPPUNIT_ASSERT(!table.Find(key).has_value());
      }
    });
    aSection.It("works with any hash seed", [] {
      for (std::uint64_t seed = 0; seed < 50; ++seed) {
        const KeyTable table({ { .mName = TeamId("a"), .mKeys = { "key" } } },
                             seed);
        CPPUNIT_ASSERT(table.Find("key").has_value());
      }
    });
    aSection.It("finds each of 10,000 keys of 150 teams", [] {
      std::vector<TeamPolicy> policies(150);
      for (int key = 0; key < 10'000; ++key) {
        TeamPolicy& team = policies[key % policies.size()];
        team.mName = TeamId(fmt::format("team-{}", key % policies.size()));
        team.mKeys.push_back(fmt::format("key-{}", key));
      }
      const KeyTable table(policies, 7);
      for (int key = 0; key < 10'000; ++key) {
        CPPUNIT_ASSERT(table.Find(fmt::format("key-{}", key)) ==
                       policies[key % policies.size()].mName);
      }
      CPPUNIT_ASSERT(!table.Find("key-10000").has_value());
    });
  });
}

} // namespace oriolevane
