#include "framework/testing/testgroup.h"
#include "gateway/statusjson.h"
#include "gateway/tests/fakenode.h"

namespace oriolevane::gateway {

using protocol::Outcome;
using protocol::RefusalReason;
using testing::Section;

namespace {

HttpAnswer
Refused(RefusalReason aReason)
{
  FakeNode node;
  node.mStatus = { .mId = RequestId("r1"),
                   .mOutcome = Outcome::NotRun,
                   .mReason = aReason,
                   .mDetail = "why" };
  return node.Submit(kGoodBody);
}

HttpAnswer
Answered(Outcome aOutcome)
{
  FakeNode node;
  node.mStatus = { .mId = RequestId("r1"), .mOutcome = aOutcome };
  return node.Submit(kGoodBody);
}

void
RefusalStory(Section& aStory)
{
  aStory.It("says when to come back, where that may help", [] {
    using enum RefusalReason;
    for (const RefusalReason reason : { Overloaded,
                                        QuotaExceeded,
                                        StoreUnavailable,
                                        Stopping,
                                        NoCapacity,
                                        RetriesExhausted }) {
      const HttpAnswer answer = Refused(reason);
      const bool tooMuch = reason == Overloaded || reason == QuotaExceeded;
      AssertProblem(
        tooMuch ? 429 : 503, std::string(ReasonWord(reason)), answer);
      CPPUNIT_ASSERT_EQUAL(std::string("not_run"),
                           Body(answer).at("outcome").get<std::string>());
      CPPUNIT_ASSERT(answer.mRetryAfter.has_value());
      CPPUNIT_ASSERT(Body(answer).contains("retry_after_ms"));
    }
  });
  aStory.It("does not invite back what would be refused again", [] {
    using enum RefusalReason;
    for (const RefusalReason reason : { NeverRunnable,
                                        UnknownWorkload,
                                        UnknownTeam,
                                        DeadlineUnreachable,
                                        Invalid }) {
      const HttpAnswer answer = Refused(reason);
      AssertProblem(422, std::string(ReasonWord(reason)), answer);
      CPPUNIT_ASSERT(!answer.mRetryAfter.has_value());
    }
    AssertProblem(409, "key_reused", Refused(KeyReused));
    AssertProblem(409, "cancelled", Refused(Cancelled));
    AssertProblem(504, "deadline_passed", Refused(DeadlinePassed));
  });
  aStory.It("keeps the time that the node itself gives", [] {
    FakeNode node;
    node.mStatus = { .mOutcome = Outcome::NotRun,
                     .mReason = RefusalReason::Overloaded,
                     .mRetryAfter = std::chrono::milliseconds(7'500) };
    CPPUNIT_ASSERT(node.Submit(kGoodBody).mRetryAfter ==
                   std::chrono::milliseconds(7'500));
  });
}

void
OwnerStory(Section& aStory)
{
  const auto recovering = [](const std::string& aKey) {
    FakeNode node;
    node.mStatus = { .mId = RequestId("r1"),
                     .mOutcome = Outcome::NotRun,
                     .mReason = RefusalReason::Recovering };
    return node.Submit(kGoodBody, aKey);
  };
  aStory.It("is not known yet under a key that may be in use", [recovering] {
    const HttpAnswer answer = recovering("k");
    AssertProblem(503, "recovering", answer);
    CPPUNIT_ASSERT_EQUAL(std::string("not_known_yet"),
                         Body(answer).at("outcome").get<std::string>());
    CPPUNIT_ASSERT(answer.mRetryAfter.has_value());
  });
  aStory.It("is not run without a key", [recovering] {
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"),
                         Body(recovering("")).at("outcome").get<std::string>());
  });
  aStory.It("is not \"not found\" to a question", [] {
    FakeNode node;
    node.mStatus = { .mOutcome = Outcome::NotKnownYet,
                     .mReason = RefusalReason::Recovering };
    AssertProblem(
      503,
      "recovering",
      node.Route({ .mMethod = "GET", .mPath = { "v1", "requests", "r1" } }));
  });
}

} // namespace

void
OutcomesStory(Section& aStory)
{
  aStory.It("gives the status of a submission", [] {
    CPPUNIT_ASSERT_EQUAL(200, Answered(Outcome::Ran).mStatus);
    CPPUNIT_ASSERT_EQUAL(202, Answered(Outcome::Pending).mStatus);
    CPPUNIT_ASSERT_EQUAL(202, Answered(Outcome::NotKnownYet).mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string("/v1/requests/r1"),
                         Answered(Outcome::Pending).mLocation);
  });
  aStory.It("of an unknown request is not found, on each path", [] {
    FakeNode node;
    node.mStatus = { .mId = RequestId("r1"), .mOutcome = Outcome::NotFound };
    const HttpCall get{ .mMethod = "GET", .mPath = { "v1", "requests", "r1" } };
    HttpCall trail = get;
    trail.mPath.emplace_back("trail");
    HttpCall cancel = get;
    cancel.mMethod = "DELETE";
    for (const HttpCall& call : { get, trail, cancel }) {
      AssertProblem(404, "unknown_request", node.Route(call));
    }
  });
  aStory.It("not run is a good answer to a question", [] {
    FakeNode node;
    node.mStatus = { .mOutcome = Outcome::NotRun,
                     .mReason = RefusalReason::Cancelled };
    const HttpAnswer answer =
      node.Route({ .mMethod = "GET", .mPath = { "v1", "requests", "r1" } });
    CPPUNIT_ASSERT_EQUAL(200, answer.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string("cancelled"),
                         Body(answer).at("reason").get<std::string>());
  });
  aStory.Describe("refused", RefusalStory);
  aStory.Describe("while the owner of the record is away", OwnerStory);
}

} // namespace oriolevane::gateway
