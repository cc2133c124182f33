#include "framework/testing/testgroup.h"
#include "gateway/tests/fakenode.h"

namespace oriolevane::gateway {

using testing::Section;

namespace {

nlohmann::json
TaskWithAnswer(const std::string& aBytes)
{
  FakeNode node;
  node.mStatus.mTasks.push_back({ .mIndex = 0,
                                  .mAttempt = 1,
                                  .mState = protocol::TaskState::Succeeded,
                                  .mAnswer = aBytes });
  return Body(node.Submit(kGoodBody)).at("tasks").at(0);
}

} // namespace

void
AnswersStory(Section& aStory)
{
  aStory.It("in UTF-8 is given as it is", [] {
    const std::string text = "\xc3\x9e\xe2\x82\xac\xf0\x9f\x90\xa6\n";
    CPPUNIT_ASSERT_EQUAL(text,
                         TaskWithAnswer(text).at("answer").get<std::string>());
  });
  aStory.It("in other bytes keeps each of them, as Base64", [] {
    // Stray and missing continuations, overlong forms, surrogates, too large.
    const std::vector<std::string> broken = {
      "\xff",         "a\x80",        "\xc3",
      "\xe2\x82",     "\xc3(",        std::string("\xc0\x80", 2),
      "\xe0\x80\xaf", "\xed\xa0\x80", "\xf4\x90\x80\x80"
    };
    for (const std::string& bytes : broken) {
      const nlohmann::json task = TaskWithAnswer(bytes);
      CPPUNIT_ASSERT_MESSAGE(task.dump(), task.contains("answer_base64"));
      CPPUNIT_ASSERT(!task.contains("answer"));
    }
    CPPUNIT_ASSERT_EQUAL(
      std::string("/w=="),
      TaskWithAnswer("\xff").at("answer_base64").get<std::string>());
  });
  aStory.It("that is not whole is not given", [] {
    FakeNode node;
    node.mStatus.mTasks.push_back(
      { .mState = protocol::TaskState::Running, .mAnswer = "half" });
    CPPUNIT_ASSERT(
      !Body(node.Submit(kGoodBody)).at("tasks").at(0).contains("answer"));
  });
  aStory.It("to an unknown path is 404, to a wrong method 405 with Allow", [] {
    FakeNode node;
    using Path = std::vector<std::string>;
    for (const Path& path : { Path{},
                              Path{ "v2" },
                              Path{ "v1" },
                              Path{ "v1", "requests", "r", "x" },
                              Path{ "v1", "requests", "r", "trail", "x" },
                              Path{ "v1", "configuration", "x" },
                              Path{ "v1", "configuration", "patches" },
                              Path{ "healthz", "x" } }) {
      AssertProblem(
        404, "unknown_path", node.Route({ .mMethod = "GET", .mPath = path }));
    }
    const std::vector<std::pair<Path, std::string>> allowed = {
      { { "v1", "requests" }, "POST" },
      { { "v1", "requests", "r" }, "GET, DELETE" },
      { { "v1", "requests", "r", "trail" }, "GET" },
      { { "v1", "configuration" }, "GET, PATCH" },
      { { "v1", "configuration", "history" }, "GET" },
      { { "v1", "nodes" }, "GET" },
      { { "metrics" }, "GET" }
    };
    for (const auto& [path, methods] : allowed) {
      const HttpAnswer answer = node.Route({ .mMethod = "PUT", .mPath = path });
      AssertProblem(405, "wrong_method", answer);
      CPPUNIT_ASSERT_EQUAL(methods, answer.mAllow);
    }
  });
  aStory.It("to an id that is empty or too long is 400", [] {
    FakeNode node;
    for (const std::string& id : { std::string(), std::string(129, 'r') }) {
      AssertProblem(
        400,
        "invalid",
        node.Route({ .mMethod = "GET", .mPath = { "v1", "requests", id } }));
    }
  });
  aStory.It("about readiness tells why not", [] {
    FakeNode node;
    CPPUNIT_ASSERT_EQUAL(
      200, node.Route({ .mMethod = "GET", .mPath = { "readyz" } }).mStatus);
    node.mReadiness = { .mReason = "stopping" };
    const HttpAnswer answer =
      node.Route({ .mMethod = "GET", .mPath = { "readyz" } });
    AssertProblem(503, "not_ready", answer);
    CPPUNIT_ASSERT_EQUAL(std::string("stopping"),
                         Body(answer).at("detail").get<std::string>());
    CPPUNIT_ASSERT_EQUAL(
      200, node.Route({ .mMethod = "GET", .mPath = { "healthz" } }).mStatus);
  });
}

} // namespace oriolevane::gateway
