#include <regex>
#include <set>
#include <string>

#include "configuration/cellpolicyreader.h"
#include "framework/testing/testgroup.h"
#include "settings/nodesettingsreader.h"

namespace oriolevane::examples {

using testing::Section;

namespace {

std::string
Read(const std::string& aPath)
{
  const auto text =
    settings::ReadTextFile(std::string(ORIOLE_SOURCE_FOLDER "/") + aPath);
  CPPUNIT_ASSERT_MESSAGE(aPath, text.ok());
  return *text;
}

// The keys that a reader asks for, as its source names them.
std::set<std::string>
KeysOf(const std::string& aReader, std::size_t aLeast)
{
  const std::string source = Read(aReader);
  const std::regex call(
    R"((Text|Word|Address|Integer|Number|Boolean|Milliseconds|JsonText|Object|EachObject)\(\s*"([a-z_]+)\")");
  std::set<std::string> keys;
  for (std::sregex_iterator at(source.begin(), source.end(), call), end;
       at != end;
       ++at) {
    keys.insert((*at)[2]);
  }
  CPPUNIT_ASSERT_MESSAGE("the pattern no longer finds the keys",
                         keys.size() >= aLeast);
  return keys;
}

void
AssertAllIn(const std::set<std::string>& aKeys,
            const std::string& aPath,
            const std::string& aQuote)
{
  const std::string text = Read(aPath);
  for (const std::string& key : aKeys) {
    std::string quoted = aQuote;
    quoted.append(key).append(aQuote);
    const bool found = text.find(quoted) != std::string::npos;
    CPPUNIT_ASSERT_MESSAGE(quoted.append(" is not in ").append(aPath), found);
  }
}

const char* const kSettingsReader =
  "src/settings/internal/nodesettingsreader.cpp";
const char* const kPolicyReader =
  "src/configuration/internal/cellpolicyreader.cpp";
const char* const kSubmitParser = "src/gateway/internal/submitparser.cpp";

} // namespace

void
ExamplesStory(Section& aStory)
{
  aStory.It("of a node's settings are valid", [] {
    for (const char* path : { "examples/annotated/node.json",
                              "examples/hreinsun/nodes/rvk-a-1.json" }) {
      const auto read = settings::ParseNodeSettings(Read(path));
      CPPUNIT_ASSERT_MESSAGE(std::string(read.status().message()), read.ok());
    }
  });
  aStory.It("of a cell's configuration are valid", [] {
    for (const char* path : { "examples/annotated/cell.json",
                              "examples/hreinsun/cell.json",
                              "examples/lutheria-andina/cell.json" }) {
      const auto read =
        configuration::ParseCellPolicy(Read(path), ConfigurationVersion(1));
      CPPUNIT_ASSERT_MESSAGE(std::string(read.status().message()), read.ok());
    }
  });
  aStory.It("show the defaults where there are any", [] {
    const auto node =
      settings::ParseNodeSettings(Read("examples/annotated/node.json"));
    const auto cell = configuration::ParseCellPolicy(
      Read("examples/annotated/cell.json"), ConfigurationVersion());
    const auto defaults = configuration::ParseCellPolicy(
      R"({"workloads":{"route-sheet":{}}})", ConfigurationVersion());
    CPPUNIT_ASSERT(node.ok() && cell.ok() && defaults.ok());
    CPPUNIT_ASSERT(cell->mWorkloads == defaults->mWorkloads);
    CPPUNIT_ASSERT(cell->mDrainedWorkers.empty());
    CPPUNIT_ASSERT_EQUAL(defaults->mAdmissionRate, cell->mAdmissionRate);
    CPPUNIT_ASSERT_EQUAL(defaults->mGrantablePerMille,
                         cell->mGrantablePerMille);
    const settings::NodeSettings absent;
    CPPUNIT_ASSERT_EQUAL(absent.mLimits.mHttpThreads,
                         node->mLimits.mHttpThreads);
    CPPUNIT_ASSERT(absent.mLeases.mNodeLease == node->mLeases.mNodeLease);
    CPPUNIT_ASSERT(absent.mStopGrace == node->mStopGrace);
  });
  aStory.It("and pages name every key that the readers know", [] {
    const std::set<std::string> node = KeysOf(kSettingsReader, 34);
    const std::set<std::string> cell = KeysOf(kPolicyReader, 30);
    AssertAllIn(node, "examples/annotated/node.json", "\"");
    AssertAllIn(cell, "examples/annotated/cell.json", "\"");
    AssertAllIn(node, "docs/SETTINGS.md", "`");
    AssertAllIn(cell, "docs/SETTINGS.md", "`");
    AssertAllIn(KeysOf(kSubmitParser, 15), "docs/API.md", "`");
  });
}

} // namespace oriolevane::examples
