#include <csignal>
#include <thread>

#include "integration/history.h"
#include "integration/stories.h"

namespace oriolevane::integration {

using nlohmann::json;
using testing::Section;

namespace {

// Waits until the callers have had this many outcomes, so that a fault falls
// into their midst.
void
AwaitFinished(const Callers& aCallers, int aCount)
{
  Await("some requests are finished",
        [&] { return aCallers.Finished() >= aCount; });
}

void
Kills(Section& aSection)
{
  aSection.It(
    "a node killed under load breaks no promise, and others take over", [] {
      Cell cell;
      Callers callers(
        cell, { .mRequestsPerCaller = 40, .mSeed = 3, .mNodes = { 0, 1, 2 } });
      AwaitFinished(callers, 60);
      cell.Kill(2);
      callers.Join();
      cell.AwaitReady();
      callers.AwaitOutcomes(0);
      CheckPromises(cell, callers, 3);
    });
  aSection.It("all nodes killed at once and started anew break no promise", [] {
    Cell cell;
    Callers callers(
      cell, { .mRequestsPerCaller = 30, .mSeed = 4, .mNodes = { 0, 1, 2 } });
    AwaitFinished(callers, 60);
    for (int node = 0; node < cell.NodeCount(); ++node) {
      cell.Kill(node);
    }
    for (int node = 0; node < cell.NodeCount(); ++node) {
      cell.StartNode(node);
    }
    callers.Join();
    cell.AwaitReady();
    callers.AwaitOutcomes(0);
    CheckPromises(cell, callers, 4);
  });
}

void
Pauses(Section& aSection)
{
  aSection.It("a node paused beyond its lease is fenced when it wakes", [] {
    Cell cell;
    Callers callers(
      cell, { .mRequestsPerCaller = 40, .mSeed = 5, .mNodes = { 0, 1 } });
    AwaitFinished(callers, 40);
    cell.Signal(2, SIGSTOP);
    Await("another node owns the shards of the paused one", [&cell] {
      const json shards =
        Ask({ .mAddress = cell.NodeAddress(0), .mPath = "/v1/shards" }).Json();
      for (const json& shard : shards["shards"]) {
        if (shard["owner"] == "n2" || !shard["ready"].get<bool>()) {
          return false;
        }
      }
      return true;
    });
    cell.Signal(2, SIGCONT);
    callers.Join();
    cell.AwaitReady();
    callers.AwaitOutcomes(0);
    CheckPromises(cell, callers, 5);
  });
}

void
PlannedStops(Section& aSection)
{
  aSection.It("a planned stop cuts off no request in flight", [] {
    Cell cell;
    Callers throughStopping(cell,
                            { .mCallers = 6,
                              .mRequestsPerCaller = 1,
                              .mSeed = 6,
                              .mMostRunMillis = 2'500,
                              .mNodes = { 2 } });
    Await("its callers wait", [&cell] {
      return Ask({ .mAddress = cell.NodeAddress(2), .mPath = "/metrics" })
               .mBody.find("oriolevane_calls_pending 6") != std::string::npos;
    });
    CPPUNIT_ASSERT_EQUAL(0, cell.StopGracefully(2));
    throughStopping.Join();
    CPPUNIT_ASSERT_EQUAL(0, throughStopping.Broken());
    throughStopping.AwaitOutcomes(0);
    CheckPromises(cell, throughStopping, 6);
    for (const Told& told : throughStopping.Record()) {
      CPPUNIT_ASSERT_EQUAL(std::string("ran"), told.mOutcomes.back());
    }
  });
}

void
StoreOutages(Section& aSection)
{
  aSection.It(
    "while the store is away, repeatable requests go on and others are refused "
    "as not run",
    [] {
      Cell cell;
      cell.Control(cell.PlatformAddress(), "/control/outage?mode=refuse");
      json body{ { "team", "kitchens" },
                 { "workload", "booking" },
                 { "wait", true },
                 { "never_repeat", true },
                 { "payload", { { "runMs", 50 }, { "answer", "once" } } } };
      HttpResult refused;
      Await("the outage is noticed", [&] {
        refused = cell.Submit(0, "never-repeat-in-outage", body);
        return refused.mStatus == 503;
      });
      CPPUNIT_ASSERT_EQUAL_MESSAGE(refused.mBody,
                                   std::string("not_run"),
                                   refused.Json().value("outcome", ""));
      CPPUNIT_ASSERT(refused.mHeaders.count("Retry-After") == 1);
      body["never_repeat"] = false;
      const HttpResult ran = cell.Submit(1, "repeatable-in-outage", body);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        ran.mBody, std::string("ran"), ran.Json().value("outcome", ""));
      cell.Control(cell.PlatformAddress(), "/control/outage?mode=none");
      body["never_repeat"] = true;
      Await("the store is used again", [&] {
        return cell.Submit(0, "never-repeat-after-outage", body)
                 .Json()
                 .value("outcome", "") == "ran";
      });
    });
  aSection.It("lost answers of the store under load break no promise", [] {
    Cell cell;
    cell.Control(cell.PlatformAddress(), "/control/lose?probability=0.3");
    Callers callers(cell, { .mSeed = 7, .mNodes = { 0, 1, 2 } });
    callers.Join();
    cell.Control(cell.PlatformAddress(), "/control/lose?probability=0");
    callers.AwaitOutcomes(0);
    CheckPromises(cell, callers, 7);
  });
}

} // namespace

void
FailoverStory(Section& aStory)
{
  aStory.Describe("kills", Kills);
  aStory.Describe("pauses", Pauses);
  aStory.Describe("planned stops", PlannedStops);
  aStory.Describe("store outages", StoreOutages);
}

} // namespace oriolevane::integration
