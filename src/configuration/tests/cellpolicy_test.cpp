#include "configuration/cellpolicyreader.h"
#include "configuration/configurationview.h"
#include "configuration/patchoverlap.h"
#include "configuration/tests/stories.h"

namespace oriolevane::configuration {

using nlohmann::json;
using testing::Section;

namespace {

VersionedBody
Version(std::uint64_t aNumber, std::string aBody)
{
  return { ConfigurationVersion(aNumber), std::move(aBody) };
}

} // namespace

void
CellPolicyStory(Section& aStory)
{
  aStory.Describe("a body", [](Section& aSection) {
    aSection.It("is read with its workloads, teams and drains", [] {
      const auto policy = ParseCellPolicy(
        R"({ "workloads": { "models": { "preemptible": true, "spread_over": "rack" } },
             "teams": { "lab": { "limit": { "slots": 4 }, "weight": 2 } },
             "drained": { "workers": { "w-1": true, "w-2": false } } })",
        ConfigurationVersion(3));
      CPPUNIT_ASSERT_MESSAGE(std::string(policy.status().message()),
                             policy.ok());
      CPPUNIT_ASSERT(policy->mWorkloads.at(WorkloadId("models")).mSpread ==
                     policy::Spread::Rack);
      CPPUNIT_ASSERT_EQUAL(std::int64_t{ 4 },
                           policy->mTeams.at(TeamId("lab")).mLimit.mSlots);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, policy->mDrainedWorkers.size());
    });
    aSection.It("is refused when it would grant more than a worker has", [] {
      const auto policy =
        ParseCellPolicy(R"({ "capacity": { "grantable_per_mille": 1001 } })",
                        ConfigurationVersion(1));
      CPPUNIT_ASSERT(!policy.ok());
    });
  });
  aStory.Describe("the version in force", [](Section& aSection) {
    aSection.It("never goes back, whatever arrives late", [] {
      ConfigurationView view;
      CPPUNIT_ASSERT(view.Adopt(Version(2, "{}")).ok());
      CPPUNIT_ASSERT(view.Adopt(Version(1, "{}")).ok());
      CPPUNIT_ASSERT(view.Current().mVersion == ConfigurationVersion(2));
    });
    aSection.It("stays when a newer body is not valid", [] {
      ConfigurationView view;
      CPPUNIT_ASSERT(view.Adopt(Version(2, "{}")).ok());
      CPPUNIT_ASSERT(!view.Adopt(Version(3, R"({"teams": 1})")).ok());
      CPPUNIT_ASSERT(view.Current().mVersion == ConfigurationVersion(2));
    });
  });
  aStory.Describe("two patches", [](Section& aSection) {
    aSection.It("commute when they touch different members", [] {
      const json left = json::parse(R"({"drained":{"workers":{"w-1":true}}})");
      const json right = json::parse(R"({"drained":{"workers":{"w-2":true}}})");
      CPPUNIT_ASSERT(!FindOverlap(left, right).has_value());
    });
    aSection.It("overlap when one removes what the other sets below", [] {
      const json left = json::parse(R"({"teams":{"lab":null}})");
      const json right = json::parse(R"({"teams":{"lab":{"weight":2}}})");
      CPPUNIT_ASSERT_EQUAL(std::string("teams.lab"), *FindOverlap(left, right));
    });
  });
}

} // namespace oriolevane::configuration
