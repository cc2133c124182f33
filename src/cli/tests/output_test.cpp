#include "cli/internal/texttable.h"
#include "cli/tests/fakecell.h"
#include "framework/testing/testgroup.h"

namespace oriolevane::cli {

using testing::Section;

namespace {

const std::string kStatus =
  R"({"id":"r1","outcome":"ran","tasks":[{"index":0,"attempt":1,)"
  R"("state":"succeeded","worker":"w7","answer":"done\u001b[2J\n"}]})";

} // namespace

void
OutputStory(Section& aStory)
{
  aStory.It("aligns columns by characters and leaves no trailing blanks", [] {
    TextTable table({ "NAME", "N" });
    table.AddRow({ "\xc3\x9e\xc3\xb3r", "1" });
    table.AddRow({ "lengthy" });
    std::ostringstream out;
    table.Print(out);
    CPPUNIT_ASSERT_EQUAL(
      std::string("NAME     N\n\xc3\x9e\xc3\xb3r      1\nlengthy\n"),
      out.str());
  });
  aStory.It("shows a request and its tasks, without control characters", [] {
    FakeCell cell;
    cell.Answers(200, kStatus);
    cell.Run({ "status", "r1" });
    CPPUNIT_ASSERT(Holds(cell.mOut.str(), "REQUEST  OUTCOME"));
    CPPUNIT_ASSERT(Holds(cell.mOut.str(), "w7      done?[2J?"));
  });
  aStory.It("gives the answer as it is when JSON is asked for", [] {
    FakeCell cell;
    cell.Answers(200, kStatus);
    cell.Run({ .mWords = { "status", "r1" }, .mOutput = "json" });
    CPPUNIT_ASSERT(Holds(cell.mOut.str(), R"("answer": "done\u001b[2J\n")"));
  });
  aStory.It("tells a refusal in words, with when to come back", [] {
    FakeCell cell;
    cell.Answers(429,
                 R"({"title":"Too much","type":"urn:oriolevane:problem:)"
                 R"(overloaded","retry_after_ms":1500,"detail":"a\nb"})");
    CPPUNIT_ASSERT_EQUAL(3, cell.Run({ "status", "r1" }));
    CPPUNIT_ASSERT(cell.mOut.str().empty());
    CPPUNIT_ASSERT(Holds(cell.mErr.str(), "retry after ms: 1500"));
    CPPUNIT_ASSERT(Holds(cell.mErr.str(), "\n  a\n  b\n"));
  });
  aStory.It("lists workloads with their settings", [] {
    FakeCell cell;
    cell.Answers(
      200, R"({"version":1,"body":{"workloads":{"lab":{"objective":0.9}}}})");
    CPPUNIT_ASSERT_EQUAL(0, cell.Run({ "workload", "list" }));
    CPPUNIT_ASSERT(Holds(cell.mOut.str(), "lab   {\"objective\":0.9}"));
  });
}

} // namespace oriolevane::cli
