#include "framework/testing/testgroup.h"
#include "settings/nodesettingsreader.h"

namespace oriolevane::settings {

using testing::Section;

namespace {

const std::string kGood = R"({
  // a comment with a "quote" and { braces
  "node": { "id": "rvk-a-1", "zone": "rvk-a" },
  "listen": {
    "callers": "127.0.0.1:8080", /* callers */
    "peers": "127.0.0.1:7070",
    "workers": "127.0.0.1:9090"
  },
  "platform": { "address": "127.0.0.1:7000" },
  "cell": { "name": "// not a comment" }
})";

std::string
Replaced(std::string aText, const std::string& aOld, const std::string& aNew)
{
  return aText.replace(aText.find(aOld), aOld.size(), aNew);
}

std::string
ProblemsOf(const std::string& aText)
{
  return std::string(ParseNodeSettings(aText).status().message());
}

bool
Holds(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

void
HostileStory(Section& aSection)
{
  aSection.It("may hold a number that no type holds", [] {
    CPPUNIT_ASSERT(Holds(ProblemsOf(Replaced(kGood, "\"rvk-a-1\"", "1e999")),
                         "number overflow"));
  });
  aSection.It("may be made to cost far more than its own size", [] {
    const std::string key(400'000, 'k');
    std::string text = "{\n\"" + key + "\": [1";
    for (int count = 0; count < 150'000; ++count) {
      text += ",1";
    }
    const std::string problems = ProblemsOf(text + "]}");
    CPPUNIT_ASSERT(Holds(problems, "line 2: kkk"));
    CPPUNIT_ASSERT(problems.size() < 2'000);
  });
  aSection.It("may hold more unknown keys than are worth listing", [] {
    std::string text = "{\"node\": {}";
    for (int count = 0; count < 50'000; ++count) {
      text += ",\n\"k" + std::to_string(count) + "\": 1";
    }
    const std::string problems = ProblemsOf(text + "}");
    CPPUNIT_ASSERT(Holds(problems, "and 49"));
    CPPUNIT_ASSERT(problems.size() < 3'000);
  });
  aSection.It("may be nested without end", [] {
    CPPUNIT_ASSERT(
      Holds(ProblemsOf(std::string(1'000'000, '[')), "levels deep") ||
      Holds(ProblemsOf(std::string(1'000'000, '[')), "parse error"));
    const std::string closed = "{\"node\":" + std::string(100'000, '[') +
                               std::string(100'000, ']') + "}";
    CPPUNIT_ASSERT(Holds(ProblemsOf(closed), "levels deep"));
  });
}

} // namespace

void
NodeSettingsStory(Section& aStory)
{
  aStory.It("reads a good file with comments and fills in the defaults", [] {
    const auto settings = ParseNodeSettings(kGood);
    CPPUNIT_ASSERT_MESSAGE(std::string(settings.status().message()),
                           settings.ok());
    CPPUNIT_ASSERT_EQUAL(std::string("// not a comment"),
                         settings->mCell.mName);
    CPPUNIT_ASSERT(settings->mLeases.mNodeLease == std::chrono::seconds(10));
  });
  aStory.Describe("a hostile text", HostileStory);
  aStory.Describe("a bad file", [](Section& aSection) {
    aSection.It(
      "has all its problems reported at once, each with line and path", [] {
        std::string text = Replaced(kGood, "127.0.0.1:8080", "nowhere");
        text = Replaced(text, "\"peers\"", "\"pers\"");
        text = Replaced(text, "\"id\": \"rvk-a-1\"", "\"id\": 7");
        const std::string problems = ProblemsOf(text);
        CPPUNIT_ASSERT(Holds(problems, "line 3: node.id: must be a text"));
        CPPUNIT_ASSERT(
          Holds(problems, "line 5: listen.callers: must be an address"));
        CPPUNIT_ASSERT(
          Holds(problems, "line 6: listen.pers: is not a known key"));
        CPPUNIT_ASSERT(Holds(problems, "listen.peers: is required"));
      });
    aSection.It("may hold keys that are in conflict with each other", [] {
      const std::string text =
        Replaced(kGood,
                 "\"cell\":",
                 "\"leases\": { \"node_lease_ms\": 1000, "
                 "\"node_renew_every_ms\": 900 }, \"cell\":");
      CPPUNIT_ASSERT(Holds(
        ProblemsOf(text),
        "leases.node_lease_ms: must be at least 3 times node_renew_every_ms"));
    });
    aSection.It(
      "may hold numbers out of range or too large for their type", [] {
        const std::string text =
          Replaced(kGood,
                   "\"name\":",
                   "\"request_partitions\": 99999999999999999999, "
                   "\"worker_shards\": 0, \"name\":");
        CPPUNIT_ASSERT(Holds(
          ProblemsOf(text),
          "cell.request_partitions: must be a whole number from 1 to 4096"));
        CPPUNIT_ASSERT(
          Holds(ProblemsOf(text),
                "cell.worker_shards: must be a whole number from 1 to 4096"));
      });
    aSection.It("shows the line behind strings, comments and lists", [] {
      const std::string text = Replaced(
        kGood,
        "\"node\": {",
        "\"x\": [ { \"}\": \"]\\\"\" }, /* ] */ -1.5e3,\n true ],\n\"node\": { "
        "\"y\": [[]],");
      CPPUNIT_ASSERT(Holds(ProblemsOf(text), "line 3: x: is not a known key"));
      CPPUNIT_ASSERT(
        Holds(ProblemsOf(text), "line 5: node.y: is not a known key"));
    });
    aSection.It("may not be JSON at all", [] {
      CPPUNIT_ASSERT(
        Holds(ProblemsOf("{ \"node\": "), "parse error at line 1"));
      CPPUNIT_ASSERT(Holds(ProblemsOf("[1]"), "must be one JSON object"));
    });
  });
}

} // namespace oriolevane::settings
