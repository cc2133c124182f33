#include <thread>

#include <fmt/format.h>

#include "integration/history.h"
#include "integration/stories.h"

namespace oriolevane::integration {

using nlohmann::json;
using testing::Section;

namespace {

HttpResult
Patch(const Cell& aCell,
      int aNode,
      const std::string& aId,
      std::uint64_t aBase,
      const json& aPatch)
{
  return Ask({ .mMethod = "PATCH",
               .mAddress = aCell.NodeAddress(aNode),
               .mPath = "/v1/configuration",
               .mBody = aPatch.dump(),
               .mHeaders = { { "If-Match", fmt::format("\"{}\"", aBase) },
                             { "Idempotency-Key", aId } } });
}

bool
IsInForceEverywhere(const Cell& aCell, std::uint64_t aVersion)
{
  for (int node = 0; node < aCell.NodeCount(); ++node) {
    const json current =
      Ask({ .mAddress = aCell.NodeAddress(node), .mPath = "/v1/configuration" })
        .Json();
    if (!current.is_object() ||
        current.value("version", std::uint64_t{ 0 }) < aVersion) {
      return false;
    }
  }
  return true;
}

void
Patches(Section& aSection)
{
  aSection.It(
    "of racing operators on one member: one is accepted, the others are told "
    "of the conflict",
    [] {
      const Cell cell;
      std::vector<HttpResult> results(3);
      std::vector<std::thread> operators;
      operators.reserve(results.size());
      for (int op = 0; op < 3; ++op) {
        operators.emplace_back([&, op] {
          results[static_cast<std::size_t>(op)] =
            Patch(cell,
                  op,
                  fmt::format("race-{}", op),
                  1,
                  { { "admission", { { "rate_per_s", 1'000 + op } } } });
        });
      }
      for (std::thread& thread : operators) {
        thread.join();
      }
      int accepted = 0;
      for (const HttpResult& result : results) {
        CPPUNIT_ASSERT_MESSAGE(result.mBody,
                               result.mStatus == 200 || result.mStatus == 412);
        accepted += result.mStatus == 200 ? 1 : 0;
      }
      CPPUNIT_ASSERT_EQUAL(1, accepted);
      Await("version 2 is in force everywhere",
            [&cell] { return IsInForceEverywhere(cell, 2); });
    });
  aSection.It(
    "whose store answers are lost are accepted once, and told so", [] {
      const Cell cell;
      cell.Control(cell.PlatformAddress(), "/control/lose?probability=0.5");
      std::uint64_t base = 1;
      for (int number = 0; number < 6; ++number) {
        const std::string id = fmt::format("lossy-{}", number);
        Await("the patch is decided", [&] {
          return Patch(
                   cell,
                   number % 3,
                   id,
                   base,
                   { { "admission", { { "rate_per_s", 2'000 + number } } } })
                   .mStatus == 200;
        });
        ++base;
      }
      cell.Control(cell.PlatformAddress(), "/control/lose?probability=0");
      Await("the last version is in force everywhere",
            [&] { return IsInForceEverywhere(cell, base); });
      const json history = Ask({ .mAddress = cell.NodeAddress(0),
                                 .mPath = "/v1/configuration/history" })
                             .Json();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 7 }, history["history"].size());
    });
}

void
Leaving(Section& aSection)
{
  aSection.It(
    "a worker that says it leaves gets no new work after a few seconds, and "
    "finishes what it has",
    [] {
      const Cell cell;
      cell.Control(cell.WorkersAddress(),
                   "/control/faults?worker=w3&leaving=true");
      const auto told = std::chrono::steady_clock::now();
      Callers callers(
        cell, { .mRequestsPerCaller = 60, .mSeed = 8, .mNodes = { 0, 1, 2 } });
      callers.Join();
      constexpr std::chrono::seconds kFewSeconds{ 4 };
      const auto limit =
        std::chrono::nanoseconds((told + kFewSeconds).time_since_epoch())
          .count();
      bool sawLater = false;
      for (const json& event : WorkerHistory(cell)) {
        const bool late = event["event"] == "started" &&
                          event["timeNs"].get<std::int64_t>() > limit;
        sawLater = sawLater || late;
        CPPUNIT_ASSERT_MESSAGE(event.dump(),
                               !(late && event["worker"] == "w3"));
      }
      CPPUNIT_ASSERT_MESSAGE("the load must outlast the limit", sawLater);
      CheckPromises(cell, callers, 8);
    });
}

} // namespace

void
OperatorsStory(Section& aStory)
{
  aStory.Describe("patches", Patches);
  aStory.Describe("leaving workers", Leaving);
}

} // namespace oriolevane::integration
