#include <utility>

#include "framework/testing/testgroup.h"
#include "gateway/submitparser.h"
#include "gateway/tests/fakenode.h"

namespace oriolevane::gateway {

using testing::Section;

namespace {

// That the body is refused as invalid and never reaches the node.
void
AssertRefused(const std::string& aBody)
{
  FakeNode node;
  const HttpAnswer answer = node.Submit(aBody);
  AssertProblem(400, "invalid", answer);
  CPPUNIT_ASSERT_EQUAL(std::string("not_run"),
                       Body(answer).at("outcome").get<std::string>());
  CPPUNIT_ASSERT(node.mCalls.empty());
  CPPUNIT_ASSERT(answer.mBody.size() < 8'192);
}

std::string
With(const std::string& aMember)
{
  return R"({"team":"lab","workload":"x",)" + aMember + "}";
}

void
HostileStory(Section& aStory)
{
  aStory.It("is not JSON, or not an object", [] {
    for (const char* body :
         { "", " ", "{", "null", "[]", "7", "{}{}", "\xff" }) {
      AssertRefused(body);
    }
    AssertRefused(std::string("{\"team\":\"a\0b", 12));
  });
  aStory.It("is nested without end", [] {
    AssertRefused(std::string(500'000, '['));
    AssertRefused(With("\"payload\":" + std::string(200'000, '[') +
                       std::string(200'000, ']')));
    const std::string objects = NestedObjects(100);
    AssertRefused(With("\"payload\":" + objects));
  });
  aStory.It("holds a number that no type holds", [] {
    AssertRefused(With("\"payload\":1e999"));
    AssertRefused(With("\"tasks\":-1"));
    AssertRefused(With("\"tasks\":0"));
    AssertRefused(With("\"tasks\":10001"));
    AssertRefused(With("\"tasks\":1.5"));
    AssertRefused(With("\"tasks\":18446744073709551615"));
    AssertRefused(With("\"deadline_ms\":99999999999999999999"));
    AssertRefused(With(R"("per_task":{"milli_cores":-1})"));
  });
  aStory.It("holds text that is not UTF-8, in values or keys", [] {
    AssertRefused(With("\"payload\":\"\xc3\x28\""));
    AssertRefused(With("\"\xff\xfe\":1"));
  });
  aStory.It("holds very many or very long unknown keys", [] {
    std::string many = "\"a\":1";
    for (int count = 0; count < 20'000; ++count) {
      many += ",\"k" + std::to_string(count) + "\":1";
    }
    AssertRefused(With(many));
    AssertRefused(With("\"" + std::string(900'000, 'k') + "\":1"));
  });
  aStory.It("asks for what excludes itself", [] {
    AssertRefused(With(R"("service":true,"never_repeat":true)"));
    AssertRefused(With(R"("urgency":"now")"));
    AssertRefused(R"({"workload":"x"})");
  });
}

void
KeyStory(Section& aStory)
{
  aStory.It("stands for one id in one team", [] {
    FakeNode node;
    node.Submit(kGoodBody, "k");
    node.Submit(kGoodBody, "k");
    node.Submit(R"({"team":"other","workload":"x"})", "k");
    const auto idOf = [&node](std::size_t aIndex) {
      return std::get<protocol::SubmitCall>(node.mCalls.at(aIndex))
        .mSpec.mId.mValue;
    };
    CPPUNIT_ASSERT_EQUAL(idOf(0), idOf(1));
    CPPUNIT_ASSERT(idOf(0) != idOf(2));
  });
  aStory.It("does not let one team's name run into the key", [] {
    CPPUNIT_ASSERT(RequestIdOf(TeamId("a"), "b:c") !=
                   RequestIdOf(TeamId("a:b"), "c"));
  });
  aStory.It("has at most 255 printable characters", [] {
    FakeNode node;
    CPPUNIT_ASSERT_EQUAL(200,
                         node.Submit(kGoodBody, std::string(255, 'k')).mStatus);
    for (const std::string& key : { std::string(256, 'k'),
                                    std::string("a b"),
                                    std::string("\xc3\x9e") }) {
      AssertProblem(400, "invalid", node.Submit(kGoodBody, key));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, node.mCalls.size());
  });
  aStory.It("when there is none, each has an id of its own", [] {
    FakeNode node;
    Router router({}, node.Hooks());
    const HttpCall call{ .mMethod = "POST",
                         .mPath = { "v1", "requests" },
                         .mBody = kGoodBody };
    router.Route(call);
    router.Route(call);
    CPPUNIT_ASSERT(std::get<protocol::SubmitCall>(node.mCalls[0]).mSpec.mId !=
                   std::get<protocol::SubmitCall>(node.mCalls[1]).mSpec.mId);
  });
}

void
WaitingStory(Section& aStory)
{
  aStory.It("beyond the limit is refused, and no other call is", [] {
    FakeNode node;
    Router router({ .mMostWaiting = 1 }, node.Hooks());
    const HttpCall submit{ .mMethod = "POST",
                           .mPath = { "v1", "requests" },
                           .mBody = kGoodBody };
    HttpAnswer second;
    HttpAnswer question;
    bool first = true;
    node.mDuringCall = [&] {
      if (!std::exchange(first, false)) {
        return;
      }
      second = router.Route(submit);
      question = router.Route({ .mMethod = "GET",
                                .mPath = { "v1", "requests", "r1" },
                                .mQuery = { { "wait_ms", "60000" } } });
    };
    CPPUNIT_ASSERT_EQUAL(200, router.Route(submit).mStatus);
    AssertProblem(429, "overloaded", second);
    CPPUNIT_ASSERT(second.mRetryAfter.has_value());
    CPPUNIT_ASSERT_EQUAL(200, question.mStatus);
    CPPUNIT_ASSERT(!std::get<protocol::StatusCall>(node.mCalls[0]).mWait);
    CPPUNIT_ASSERT_EQUAL(200, router.Route(submit).mStatus);
  });
  aStory.It("is bounded, whatever the caller asks for", [] {
    FakeNode node;
    HttpCall call{ .mMethod = "GET", .mPath = { "v1", "requests", "r1" } };
    call.mQuery["wait_ms"] = "18446744073709551615";
    CPPUNIT_ASSERT_EQUAL(200, node.Route(call).mStatus);
    CPPUNIT_ASSERT(node.mTimeouts.at(0) == RouterOptions().mCallerTimeout);
    for (const char* wrong : { "-1", "soon", "1e3", "18446744073709551616" }) {
      call.mQuery["wait_ms"] = wrong;
      AssertProblem(400, "invalid", node.Route(call));
    }
  });
}

} // namespace

void
SubmissionsStory(Section& aStory)
{
  aStory.Describe("is refused when it", HostileStory);
  aStory.Describe("with a key", KeyStory);
  aStory.Describe("of a waiting caller", WaitingStory);
}

} // namespace oriolevane::gateway
