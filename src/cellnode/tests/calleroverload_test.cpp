#include "cellnode/tests/callerrequestfixture.h"
#include "cellnode/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;
using namespace std::chrono_literals;

namespace {

using Fixture = CallerRequestFixture;

// Adds a queue whose jobs need the approval of the policy service.
void
AddQueueWithAdvice(Fixture& aFixture)
{
  jobs::CellConfiguration configuration = aFixture.mScheduler.Configuration();
  configuration.mQueues.push_back({ .mName = jobs::QueueName("advice"),
                                    .mHost = "cell.example",
                                    .mPathPrefix = "/advice/",
                                    .mAdvice = jobs::AdvicePolicy{} });
  aFixture.Configure(configuration);
}

void
DescribePolicyServiceOverload(Section& aRoot)
{
  aRoot.Describe(
    "while the policy service is overloaded", [](Section& aSection) {
      aSection.It("refuses jobs that need its approval", [] {
        Fixture fixture;
        AddQueueWithAdvice(fixture);
        fixture.mAdviceWait = 20s;
        std::optional<CallerAnswerKind> kind;
        fixture.Call(CallerVerb::Submit, "/advice/" + kFirstJob, kind);
        CPPUNIT_ASSERT(kind == CallerAnswerKind::Refused);
      });
      aSection.It("takes other jobs", [] {
        Fixture fixture;
        AddQueueWithAdvice(fixture);
        fixture.mAdviceWait = 20s;
        fixture.Submit(kFirstJob);
        CPPUNIT_ASSERT(fixture.mAnswers.empty());
      });
      aSection.It("does not refuse a job that it has taken before", [] {
        Fixture fixture;
        AddQueueWithAdvice(fixture);
        std::optional<CallerAnswerKind> kind;
        fixture.Call(CallerVerb::Submit, "/advice/" + kFirstJob, kind);
        fixture.mAdviceWait = 20s;
        fixture.Call(CallerVerb::Submit, "/advice/" + kFirstJob, kind);
        CPPUNIT_ASSERT(!kind.has_value());
      });
    });
}

} // namespace

void
CallerOverloadTests(Section& aRoot)
{
  aRoot.Describe("while the owner is overloaded", [](Section& aSection) {
    aSection.It("refuses a new job at once, and says when to come back", [] {
      Fixture fixture;
      fixture.mHandler.SetOverloaded(true);
      fixture.Submit(kFirstJob);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mAnswers.size());
      const CallerAnswer& answer = fixture.mAnswers.front();
      CPPUNIT_ASSERT(answer.mKind == CallerAnswerKind::Refused);
      CPPUNIT_ASSERT(answer.mRetryAfter >= 1s);
      CPPUNIT_ASSERT(answer.mRetryAfter <= 3s);
    });
    aSection.It("leaves no trace of a refused job", [] {
      Fixture fixture;
      fixture.mHandler.SetOverloaded(true);
      fixture.Submit(kFirstJob);
      CPPUNIT_ASSERT(
        !fixture.mScheduler.Find(jobs::JobId(kFirstJob)).has_value());
      CPPUNIT_ASSERT(!fixture.mScheduler.Records().HasWaiting());
    });
    aSection.It("tells callers to come back at different times", [] {
      Fixture fixture;
      fixture.mHandler.SetOverloaded(true);
      fixture.Submit(kFirstJob);
      fixture.Submit(kSecondJob);
      CPPUNIT_ASSERT(fixture.mAnswers[0].mRetryAfter !=
                     fixture.mAnswers[1].mRetryAfter);
    });
    aSection.It("does not refuse a job that it has taken before", [] {
      Fixture fixture;
      fixture.Submit(kFirstJob);
      fixture.mHandler.SetOverloaded(true);
      fixture.Submit(kFirstJob);
      CPPUNIT_ASSERT(fixture.mAnswers.empty());
    });
  });
  aRoot.It("takes new jobs again afterwards", [] {
    Fixture fixture;
    fixture.mHandler.SetOverloaded(true);
    fixture.mHandler.SetOverloaded(false);
    fixture.Submit(kFirstJob);
    CPPUNIT_ASSERT(fixture.mAnswers.empty());
    CPPUNIT_ASSERT(fixture.mScheduler.Find(jobs::JobId(kFirstJob)).has_value());
  });
  DescribePolicyServiceOverload(aRoot);
}

} // namespace oriolevane
