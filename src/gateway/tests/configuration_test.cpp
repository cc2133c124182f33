#include "framework/testing/testgroup.h"
#include "gateway/tests/fakenode.h"

namespace oriolevane::gateway {

using configuration::PatchVerdict;
using testing::Section;

namespace {

HttpCall
Patch(const std::string& aBody, const std::string& aId = "p1")
{
  return { .mMethod = "PATCH",
           .mPath = { "v1", "configuration" },
           .mBody = aBody,
           .mIdempotencyKey = aId,
           .mIfMatch = "\"7\"",
           .mAuthor = "lab" };
}

HttpAnswer
Judged(PatchVerdict aVerdict)
{
  FakeNode node;
  node.mPatchOutcome = { .mVerdict = aVerdict,
                         .mVersion = ConfigurationVersion(8) };
  return node.Route(Patch("{}"));
}

void
PatchStory(Section& aStory)
{
  aStory.It("has a status for each verdict", [] {
    CPPUNIT_ASSERT_EQUAL(200, Judged(PatchVerdict::Accepted).mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string("\"8\""),
                         Judged(PatchVerdict::Accepted).mETag);
    AssertProblem(412, "conflict", Judged(PatchVerdict::Conflict));
    AssertProblem(422, "invalid", Judged(PatchVerdict::Invalid));
    AssertProblem(503, "not_applied", Judged(PatchVerdict::NotApplied));
    CPPUNIT_ASSERT(Judged(PatchVerdict::NotApplied).mRetryAfter.has_value());
    const HttpAnswer open = Judged(PatchVerdict::NotKnownYet);
    CPPUNIT_ASSERT_EQUAL(202, open.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string("/v1/configuration/patches/p1"),
                         open.mLocation);
  });
  aStory.It("needs the version that it is made against", [] {
    FakeNode node;
    for (const char* base : { "", "*", "\"\"", "W/\"7\"", "\"7", "-7" }) {
      HttpCall call = Patch("{}");
      call.mIfMatch = base;
      AssertProblem(428, "base_required", node.Route(call));
    }
    CPPUNIT_ASSERT(node.mPatches.empty());
  });
  aStory.It("is refused before anything works on it by recursion", [] {
    FakeNode node;
    const std::string deep = NestedObjects(100);
    AssertProblem(422, "invalid", node.Route(Patch(deep)));
    AssertProblem(422, "invalid", node.Route(Patch(std::string(200'000, '['))));
    AssertProblem(422, "invalid", node.Route(Patch("{\"a\":\"\xff\"}")));
    AssertProblem(422, "invalid", node.Route(Patch("{\"a\":1e999}")));
    CPPUNIT_ASSERT(node.mPatches.empty());
  });
  aStory.It("reaches the store without comments and in valid UTF-8", [] {
    FakeNode node;
    HttpCall call = Patch("{ /* now */ \"teams\": {} } // end");
    call.mAuthor = "\xc3\x9e\xff";
    node.Route(call);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"teams":{}})"),
                         node.mPatches.at(0).mPatch);
    CPPUNIT_ASSERT_EQUAL(std::string("???"), node.mPatches.at(0).mAuthor);
  });
  aStory.It("has an id that can be asked for", [] {
    FakeNode node;
    for (const std::string& id : { std::string("a/b"),
                                   std::string("a b"),
                                   std::string(129, 'p'),
                                   std::string("\xff") }) {
      AssertProblem(400, "invalid", node.Route(Patch("{}", id)));
      AssertProblem(
        400,
        "invalid",
        node.Route({ .mMethod = "GET",
                     .mPath = { "v1", "configuration", "patches", id } }));
    }
    node.Route(Patch("{}", ""));
    CPPUNIT_ASSERT(!node.mPatches.at(0).mPatchId.empty());
  });
}

} // namespace

void
ConfigurationStory(Section& aStory)
{
  aStory.It("is shown with its version as entity tag", [] {
    FakeNode node;
    const HttpAnswer answer =
      node.Route({ .mMethod = "GET", .mPath = { "v1", "configuration" } });
    CPPUNIT_ASSERT_EQUAL(std::string("\"7\""), answer.mETag);
    CPPUNIT_ASSERT_EQUAL(7, Body(answer).at("version").get<int>());
  });
  aStory.It("in force everywhere is the oldest of the nodes'", [] {
    FakeNode node;
    const HttpAnswer answer = node.Route(
      { .mMethod = "GET", .mPath = { "v1", "configuration", "in-force" } });
    CPPUNIT_ASSERT_EQUAL(6, Body(answer).at("in_force_everywhere").get<int>());
  });
  aStory.It("has no history to show while the store is away", [] {
    FakeNode node;
    node.mHistory = absl::UnavailableError("away");
    HttpCall call{ .mMethod = "GET",
                   .mPath = { "v1", "configuration", "history" } };
    const HttpAnswer answer = node.Route(call);
    AssertProblem(503, "store_unavailable", answer);
    CPPUNIT_ASSERT(answer.mRetryAfter.has_value());
    call.mQuery["after"] = "now";
    AssertProblem(400, "invalid", node.Route(call));
  });
  aStory.Describe("takes a patch that", PatchStory);
}

} // namespace oriolevane::gateway
