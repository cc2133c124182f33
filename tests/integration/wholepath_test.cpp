#include "integration/history.h"
#include "integration/stories.h"

namespace oriolevane::integration {

using nlohmann::json;
using testing::Section;

namespace {

std::vector<int>
AllNodes(const Cell& aCell)
{
  std::vector<int> nodes;
  nodes.reserve(static_cast<std::size_t>(aCell.NodeCount()));
  for (int node = 0; node < aCell.NodeCount(); ++node) {
    nodes.push_back(node);
  }
  return nodes;
}

// Fails with the request's own trail.
void
CheckEachRan(const Cell& aCell, const Callers& aCallers)
{
  for (const Told& told : aCallers.Record()) {
    const std::string last =
      told.mOutcomes.empty() ? "nothing" : told.mOutcomes.back();
    if (last != "ran") {
      const std::string path = "/v1/requests/" + told.mId + "/trail";
      const HttpResult trail =
        Ask({ .mAddress = aCell.NodeAddress(0), .mPath = path });
      CPPUNIT_FAIL("told " + last + " in the end: " + trail.mBody);
    }
  }
}

} // namespace

void
WholePathStory(Section& aStory)
{
  aStory.It(
    "serves many callers through every node, each with its own whole answer",
    [] {
      const Cell cell;
      Callers callers(cell, { .mNodes = AllNodes(cell) });
      callers.Join();
      CheckEachRan(cell, callers);
      CPPUNIT_ASSERT_EQUAL(0, callers.Broken());
      CheckPromises(cell, callers, 1);
    });
  aStory.It(
    "keeps answers apart when workers report late and out of order", [] {
      const Cell cell;
      for (int worker = 0; worker < 12; ++worker) {
        cell.Control(cell.WorkersAddress(),
                     "/control/faults?worker=w" + std::to_string(worker) +
                       "&reportDelayMs=700&answerDelayMs=100");
      }
      Callers callers(cell, { .mSeed = 2, .mNodes = AllNodes(cell) });
      callers.Join();
      callers.AwaitOutcomes(0);
      CheckEachRan(cell, callers);
      CheckPromises(cell, callers, 2);
    });
  aStory.It(
    "starts all tasks of a gang or none, and says at once what can never run",
    [] {
      const Cell cell;
      const json gang{
        { "team", "crews" },
        { "workload", "booking" },
        { "tasks", 12 },
        { "start_together", true },
        { "wait", true },
        { "payload", { { "runMs", 100 }, { "answer", "sheet" } } }
      };
      const HttpResult ran = cell.Submit(0, "gang", gang);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(ran.mBody, 200, ran.mStatus);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 12 }, ran.Json()["tasks"].size());
      json impossible = gang;
      impossible["per_task"] = { { "accelerators", 3 } };
      const HttpResult refused = cell.Submit(1, "impossible", impossible);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(refused.mBody, 422, refused.mStatus);
      CPPUNIT_ASSERT_EQUAL(std::string("not_run"),
                           refused.Json().value("outcome", ""));
    });
}

} // namespace oriolevane::integration
