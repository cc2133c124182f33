#include "cli/internal/verbs.h"
#include "cli/tests/fakecell.h"
#include "framework/testing/testgroup.h"

namespace oriolevane::cli {

using testing::Section;

namespace {

const std::string kAccepted =
  R"({"verdict":"accepted","version":8,"patch_id":"fresh"})";

std::string
Current(const std::string& aBody)
{
  return R"({"version":7,"body":)" + aBody + "}";
}

std::string
Problem(const std::string& aType, const std::string& aMore = "")
{
  return R"({"type":"urn:oriolevane:problem:)" + aType + "\"" + aMore + "}";
}

// The body of the patch that the words lead to.
std::string
PatchOf(const std::string& aBody, std::vector<std::string> aWords)
{
  FakeCell cell;
  cell.mFiles["f"] = R"({"weight":2,"limit":{"slots":1}})";
  cell.Answers(200, Current(aBody)).Answers(200, kAccepted);
  CPPUNIT_ASSERT_EQUAL(0, cell.Run(std::move(aWords)));
  if (cell.mSent.size() < 2) {
    return "";
  }
  CPPUNIT_ASSERT_EQUAL(std::string("\"7\""),
                       cell.mSent.at(1).mCall.mHeaders.at("If-Match"));
  return cell.mSent.at(1).mCall.mBody;
}

int
CodeFor(std::vector<std::string> aWords, int aStatus, const std::string& aBody)
{
  FakeCell cell;
  cell.mFiles["f"] = R"({"team":"t","workload":"w"})";
  cell.Answers(aStatus, aBody);
  return cell.Run(std::move(aWords));
}

void
UsageStory(Section& aStory)
{
  aStory.It("sends nothing", [] {
    const std::vector<std::vector<std::string>> wrong = {
      {},
      { "dance" },
      { "config" },
      { "config", "dance" },
      { "status" },
      { "status", "" },
      { "status", "\xff" },
      { "nodes", "x" },
      { "submit", "absent" },
      { "config", "apply", "absent" },
      { "capacity", "set", "speed", "1" },
      { "capacity", "set", "rate_per_s", "fast" }
    };
    for (const auto& words : wrong) {
      FakeCell cell;
      CPPUNIT_ASSERT_EQUAL(2, cell.Run(words));
      CPPUNIT_ASSERT(cell.mSent.empty());
      CPPUNIT_ASSERT(!cell.mErr.str().empty());
    }
  });
  aStory.It("may be in the flags", [] {
    const std::vector<CommandLine> wrong = {
      { .mWords = { "nodes" }, .mOutput = "xml" },
      { .mWords = { "nodes" }, .mTimeout = std::chrono::milliseconds(0) },
      { .mWords = { "status", "r" }, .mWaitMillis = "soon" },
      { .mWords = { "status", "r" }, .mWaitMillis = "-1" },
      { .mWords = { "submit", "f" }, .mKey = "a\r\nX-Author: b" },
      { .mWords = { "config", "apply", "f" }, .mBase = "1x" },
      { .mWords = { "config", "history" }, .mAfter = "v1" }
    };
    for (const CommandLine& line : wrong) {
      FakeCell cell;
      cell.mFiles["f"] = "{}";
      CPPUNIT_ASSERT_EQUAL(2, cell.Run(line));
      CPPUNIT_ASSERT(cell.mSent.empty());
    }
  });
  aStory.It("may be in a file", [] {
    FakeCell cell;
    cell.mFiles["f"] = R"({ "team": )";
    cell.mFiles["g"] = "[1]";
    cell.mFiles["n"] = R"({ "rate": 1e999 })";
    CPPUNIT_ASSERT_EQUAL(8, cell.Run({ "submit", "f" }));
    CPPUNIT_ASSERT_EQUAL(8, cell.Run({ "submit", "g" }));
    CPPUNIT_ASSERT_EQUAL(8, cell.Run({ "submit", "n" }));
    CPPUNIT_ASSERT(cell.mSent.empty());
  });
}

void
CodeStory(Section& aStory)
{
  const std::vector<std::string> submit = { "submit", "f" };
  aStory.It("tells apart what became of a submission", [submit] {
    const auto outcome = [](const std::string& aWord) {
      return R"({"id":"r","outcome":")" + aWord + R"(","tasks":[]})";
    };
    CPPUNIT_ASSERT_EQUAL(0, CodeFor(submit, 200, outcome("ran")));
    CPPUNIT_ASSERT_EQUAL(0, CodeFor(submit, 202, outcome("pending")));
    CPPUNIT_ASSERT_EQUAL(4, CodeFor(submit, 202, outcome("not_known_yet")));
    CPPUNIT_ASSERT_EQUAL(
      3,
      CodeFor(submit, 429, Problem("overloaded", R"(,"outcome":"not_run")")));
    CPPUNIT_ASSERT_EQUAL(
      4,
      CodeFor(
        submit, 503, Problem("recovering", R"(,"outcome":"not_known_yet")")));
    CPPUNIT_ASSERT_EQUAL(
      3,
      CodeFor(
        submit, 422, Problem("never_runnable", R"(,"outcome":"not_run")")));
    CPPUNIT_ASSERT_EQUAL(
      6,
      CodeFor(submit, 409, Problem("key_reused", R"(,"outcome":"not_run")")));
    CPPUNIT_ASSERT_EQUAL(8, CodeFor(submit, 400, Problem("invalid")));
    CPPUNIT_ASSERT_EQUAL(4, CodeFor(submit, 500, "no JSON"));
    CPPUNIT_ASSERT_EQUAL(4, CodeFor(submit, 200, "no JSON"));
  });
  aStory.It("of a waiting submission is 4 while it is pending", [] {
    FakeCell cell;
    cell.mFiles["f"] = "{}";
    cell.Answers(202, R"({"id":"r","outcome":"pending"})");
    CPPUNIT_ASSERT_EQUAL(
      4, cell.Run({ .mWords = { "submit", "f" }, .mWait = true }));
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"wait":true})"),
                         cell.mSent.at(0).mCall.mBody);
  });
  aStory.It("tells whether a request is over and known", [] {
    CPPUNIT_ASSERT_EQUAL(
      4, CodeFor({ "status", "r" }, 200, R"({"outcome":"pending"})"));
    CPPUNIT_ASSERT_EQUAL(
      3, CodeFor({ "status", "r" }, 200, R"({"outcome":"not_run"})"));
    CPPUNIT_ASSERT_EQUAL(
      5, CodeFor({ "status", "r" }, 404, Problem("unknown_request")));
    CPPUNIT_ASSERT_EQUAL(
      0, CodeFor({ "cancel", "r" }, 200, R"({"outcome":"not_run"})"));
    CPPUNIT_ASSERT_EQUAL(
      0, CodeFor({ "explain", "r" }, 200, R"({"outcome":"pending"})"));
  });
  aStory.It("of a patch tells conflict, refusal and doubt apart", [] {
    const std::vector<std::string> ask = { "config", "patch-status", "p" };
    CPPUNIT_ASSERT_EQUAL(6, CodeFor(ask, 412, Problem("conflict")));
    CPPUNIT_ASSERT_EQUAL(8, CodeFor(ask, 422, Problem("invalid")));
    CPPUNIT_ASSERT_EQUAL(3, CodeFor(ask, 503, Problem("not_applied")));
    CPPUNIT_ASSERT_EQUAL(
      4, CodeFor(ask, 202, R"({"verdict":"not_known_yet","patch_id":"p"})"));
  });
  aStory.It("of health is that of the worst address", [] {
    FakeCell cell;
    cell.Answers(503, Problem("not_ready")).Answers(200, "{}");
    CPPUNIT_ASSERT_EQUAL(3, cell.Run({ "health" }));
    cell.Answers(200, "{}").Fails(Delivery::NotSent);
    CPPUNIT_ASSERT_EQUAL(7, cell.Run({ "health" }));
  });
}

void
ChangeStory(Section& aStory)
{
  aStory.It("drains and returns by the one member", [] {
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"drained":{"workers":{"w-1":true}}})"),
                         PatchOf("{}", { "drain", "worker", "w-1" }));
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"drained":{"nodes":{"n":null}}})"),
                         PatchOf(R"({"drained":{"nodes":{"n":true}}})",
                                 { "return", "node", "n" }));
  });
  aStory.It("sends nothing when all is so already", [] {
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         PatchOf(R"({"drained":{"workers":{"w":true}}})",
                                 { "drain", "worker", "w" }));
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         PatchOf("{}", { "return", "worker", "w" }));
    CPPUNIT_ASSERT_EQUAL(
      std::string(),
      PatchOf(R"({"capacity":{"grantable_per_mille":900}})",
              { "capacity", "set", "grantable_per_mille", "900" }));
  });
  aStory.It("sets a member as a whole, so that old settings go", [] {
    CPPUNIT_ASSERT_EQUAL(
      std::string(
        R"({"teams":{"lab":{"limit":{"memory_mib":null,"slots":1}}}})"),
      PatchOf(
        R"({"teams":{"lab":{"weight":2,"limit":{"memory_mib":5,"slots":3}}}})",
        { "team", "set", "lab", "f" }));
    CPPUNIT_ASSERT_EQUAL(
      std::string(R"({"workloads":{"x":{"limit":{"slots":1},"weight":2}}})"),
      PatchOf("{}", { "workload", "set", "x", "f" }));
  });
  aStory.It("removes only what is there", [] {
    CPPUNIT_ASSERT_EQUAL(
      std::string(R"({"teams":{"lab":null}})"),
      PatchOf(R"({"teams":{"lab":{}}})", { "team", "remove", "lab" }));
    FakeCell cell;
    cell.Answers(200, Current("{}"));
    CPPUNIT_ASSERT_EQUAL(5, cell.Run({ "team", "remove", "lab" }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, cell.mSent.size());
  });
  aStory.It("does not go on from an answer that is no configuration", [] {
    FakeCell cell;
    cell.Answers(200, R"({"version":"x","body":{}})");
    CPPUNIT_ASSERT_EQUAL(4, cell.Run({ "drain", "worker", "w" }));
    cell.Answers(200, R"({"version":3,"body":{"drained":5}})");
    CPPUNIT_ASSERT_EQUAL(4, cell.Run({ "drain", "worker", "w" }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, cell.mSent.size());
  });
}

} // namespace

void
CommandsStory(Section& aStory)
{
  aStory.Describe("used wrongly", UsageStory);
  aStory.Describe("has an exit code that", CodeStory);
  aStory.Describe("that changes the configuration", ChangeStory);
  aStory.It("encodes ids, so that they stay one part of the path", [] {
    FakeCell cell;
    cell.Answers(200, R"({"outcome":"ran"})");
    cell.Run({ .mWords = { "status", "a/b?c d" }, .mWaitMillis = "50" });
    CPPUNIT_ASSERT_EQUAL(std::string("/v1/requests/a%2Fb%3Fc%20d?wait_ms=50"),
                         cell.mSent.at(0).mCall.mTarget);
  });
  aStory.It("checks files without any node", [] {
    FakeCell cell;
    cell.mFiles["good"] = R"({ "teams": { "lab": {} } })";
    cell.mFiles["bad"] = "{\n \"teams\": { \"lab\": 1 } }";
    CPPUNIT_ASSERT_EQUAL(0, cell.Run({ "check-config", "good" }));
    CPPUNIT_ASSERT_EQUAL(8, cell.Run({ "check-config", "bad" }));
    CPPUNIT_ASSERT(Holds(cell.mErr.str(), "line 2: teams.lab"));
    CPPUNIT_ASSERT_EQUAL(8, cell.Run({ "check-settings", "bad" }));
    CPPUNIT_ASSERT_EQUAL(2, cell.Run({ "check-settings", "absent" }));
    CPPUNIT_ASSERT(cell.mSent.empty());
  });
  aStory.It("has help of its own and a place in the overview", [] {
    FakeCell overview;
    CPPUNIT_ASSERT_EQUAL(0, overview.Run({ "help" }));
    for (const Verb& verb : AllVerbs()) {
      FakeCell cell;
      CPPUNIT_ASSERT_EQUAL(0, cell.Run({ "help", verb.mName }));
      CPPUNIT_ASSERT(Holds(cell.mOut.str(), verb.mSummary));
      CPPUNIT_ASSERT(Holds(overview.mOut.str(), verb.mName));
    }
    CPPUNIT_ASSERT_EQUAL(0, overview.Run({ "help", "config" }));
    CPPUNIT_ASSERT_EQUAL(2, overview.Run({ "help", "dance" }));
  });
}

} // namespace oriolevane::cli
