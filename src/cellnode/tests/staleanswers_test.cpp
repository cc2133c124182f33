#include "cellnode/tests/ownersessionfixture.h"
#include "cellnode/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;
using namespace std::chrono_literals;

namespace {

// An owner whose queue needs the approval of the policy service, in one term
// after the other.
struct TermsFixture : OwnerSessionFixture
{
  TermsFixture()
  {
    mQueue.mAdvice = jobs::AdvicePolicy{ .mDecisionTime = 10ms,
                                         .mTimePerWorker = 1ms,
                                         .mValidity = 5000ms };
  }
  // Returns the first query of a term in which the store has the job aJob.
  SentAdviceQuery FirstQueryOfTerm(Epoch aEpoch, const std::string& aJob)
  {
    mJobId = aJob;
    mQueries.clear();
    BeginTerm(aEpoch);
    RunUntil([this] { return !mQueries.empty(); });
    CPPUNIT_ASSERT(!mQueries.empty());
    return mQueries.front();
  }
  void Answer(QueryId aId, const jobs::StepKey& aStep)
  {
    mSession->OnAdvice(
      aId,
      { .mStep = aStep,
        .mAnswered = true,
        .mAsked = {},
        .mApproved = { { .mWorker = WorkerId("w"), .mTicket = "ticket" } },
        .mValidity = 5000ms });
  }
};

void
DescribeAdvice(Section& aRoot)
{
  aRoot.Describe(
    "an owner that lost the shard and owns it again", [](Section& aSection) {
      // Guards against review/6: the answer was taken for that to the query
      // with the same number, whose step was never asked about again.
      aSection.It("ignores the answer to a query of its former term", [] {
        TermsFixture fixture;
        const SentAdviceQuery former =
          fixture.FirstQueryOfTerm(Epoch(2), "former");
        const SentAdviceQuery present =
          fixture.FirstQueryOfTerm(Epoch(3), "present");
        fixture.Answer(former.mId, former.mQuery.mStep);
        fixture.Answer(present.mId, present.mQuery.mStep);
        fixture.RunUntil([&fixture] { return !fixture.mStarts.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mStarts.size());
        CPPUNIT_ASSERT(fixture.mStaleAnswers ==
                       std::vector{ PeerRequest::Advice });
      });
    });
  aRoot.Describe("an answer about another step", [](Section& aSection) {
    aSection.It("counts as none, and the step is asked about again", [] {
      TermsFixture fixture;
      const SentAdviceQuery first = fixture.FirstQueryOfTerm(Epoch(2), "job");
      fixture.Answer(first.mId, { .mJob = jobs::JobId("other") });
      fixture.RunUntil([&fixture] { return fixture.mQueries.size() > 1; });
      CPPUNIT_ASSERT(fixture.mQueries.at(1).mQuery.mStep == first.mQuery.mStep);
    });
  });
}

} // namespace

void
StaleAnswerTests(Section& aRoot)
{
  DescribeAdvice(aRoot);
}

} // namespace oriolevane
