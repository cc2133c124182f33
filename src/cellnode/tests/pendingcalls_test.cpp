#include "cellnode/internal/pendingcalls.h"
#include "cellnode/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;
using namespace std::chrono_literals;

namespace {

const TimePoint kBegin{ 1000s };
const NodeId kOwner("owner");
const NodeId kNextOwner("next-owner");

struct Fixture
{
  PendingCalls mPendingCalls{ Incarnation(7) };
  std::vector<CallerAnswerKind> mAnswers;

  CallId Add(CallerVerb aVerb)
  {
    return mPendingCalls.Add(
      { .mVerb = aVerb },
      [this](const CallerAnswer& aAnswer) {
        mAnswers.push_back(aAnswer.mKind);
      },
      kBegin);
  }
  SendId Send(CallId aId, const NodeId& aTo)
  {
    const SendId send = mPendingCalls.NextSendId();
    mPendingCalls.MarkSent(aId, send, aTo);
    return send;
  }
};

} // namespace

void
PendingCallsTests(Section& aRoot)
{
  aRoot.Describe(
    "a submission that was not sent to an owner", [](Section& aSection) {
      aSection.It("is refused soon", [] {
        Fixture fixture;
        fixture.Add(CallerVerb::Submit);
        fixture.mPendingCalls.Expire(kBegin + 200ms);
        CPPUNIT_ASSERT(fixture.mAnswers.empty());
        fixture.mPendingCalls.Expire(kBegin + 400ms);
        CPPUNIT_ASSERT(fixture.mAnswers.at(0) == CallerAnswerKind::Refused);
      });
    });
  aRoot.Describe(
    "a submission that an owner may have accepted", [](Section& aSection) {
      aSection.It("is never refused, even when the owner is lost", [] {
        Fixture fixture;
        const CallId id = fixture.Add(CallerVerb::Submit);
        fixture.Send(id, kOwner);
        fixture.mPendingCalls.MarkAllUnsent();
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                             fixture.mPendingCalls.Unsent().size());
        fixture.mPendingCalls.Expire(kBegin + 400ms);
        CPPUNIT_ASSERT(fixture.mAnswers.empty());
        fixture.mPendingCalls.Expire(kBegin + 5s);
        CPPUNIT_ASSERT(fixture.mAnswers.at(0) ==
                       CallerAnswerKind::Undetermined);
      });
    });
  aRoot.Describe("a query", [](Section& aSection) {
    aSection.It("can be refused at any time because it changes nothing", [] {
      Fixture fixture;
      fixture.Send(fixture.Add(CallerVerb::Query), kOwner);
      fixture.mPendingCalls.AnswerAll();
      CPPUNIT_ASSERT(fixture.mAnswers.at(0) == CallerAnswerKind::Refused);
    });
  });
  aRoot.Describe(
    "a refusal by an owner that has been replaced", [](Section& aSection) {
      // The next owner may be the same node in a later epoch.
      for (const NodeId& next : { kNextOwner, kOwner }) {
        aSection.It("does not reach a caller whose request was sent again to " +
                      next.mValue,
                    [next] {
                      Fixture fixture;
                      const CallId id = fixture.Add(CallerVerb::Submit);
                      const SendId first = fixture.Send(id, kOwner);
                      fixture.mPendingCalls.MarkAllUnsent();
                      const SendId second = fixture.Send(id, next);
                      fixture.mPendingCalls.Answer(
                        first, { .mKind = CallerAnswerKind::Refused });
                      CPPUNIT_ASSERT(fixture.mAnswers.empty());
                      fixture.mPendingCalls.Answer(
                        second, { .mKind = CallerAnswerKind::Accepted });
                      CPPUNIT_ASSERT(fixture.mAnswers.at(0) ==
                                     CallerAnswerKind::Accepted);
                    });
      }
    });
  aRoot.Describe("two answers to one request", [](Section& aSection) {
    aSection.It("pass only the first to the caller", [] {
      Fixture fixture;
      const SendId send = fixture.Send(fixture.Add(CallerVerb::Submit), kOwner);
      fixture.mPendingCalls.Answer(send,
                                   { .mKind = CallerAnswerKind::Accepted });
      fixture.mPendingCalls.Answer(send,
                                   { .mKind = CallerAnswerKind::Refused });
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mAnswers.size());
      CPPUNIT_ASSERT(fixture.mAnswers[0] == CallerAnswerKind::Accepted);
    });
  });
}

} // namespace oriolevane
