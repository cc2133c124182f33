#include "cellnode/internal/callerqueue.h"
#include "cellnode/tests/stories.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;
using namespace std::chrono_literals;

namespace {

const TimePoint kBegin{ 1000s };
const NodeId kOwner("owner");
const NodeId kNextOwner("next-owner");

struct Bench
{
  CallerQueue mQueue;
  std::vector<CallerAnswerKind> mAnswers;

  CallId Add(CallerVerb aVerb)
  {
    return mQueue.Add(
      { .mVerb = aVerb },
      [this](const CallerAnswer& aAnswer) {
        mAnswers.push_back(aAnswer.mKind);
      },
      kBegin);
  }
  SendId Send(CallId aId, const NodeId& aTo)
  {
    const SendId send = mQueue.NextSend();
    mQueue.MarkSent(aId, send, aTo);
    return send;
  }
};

} // namespace

void
CallerQueueStory(Section& aStory)
{
  aStory.Describe("a submission that no owner has seen", [](Section& aSection) {
    aSection.It("is refused soon, which is true", [] {
      Bench bench;
      bench.Add(CallerVerb::Submit);
      bench.mQueue.Expire(kBegin + 200ms);
      CPPUNIT_ASSERT(bench.mAnswers.empty());
      bench.mQueue.Expire(kBegin + 400ms);
      CPPUNIT_ASSERT(bench.mAnswers.at(0) == CallerAnswerKind::Refused);
    });
  });
  aStory.Describe(
    "a submission that an owner may have taken", [](Section& aSection) {
      aSection.It("is never refused, also when the owner is gone", [] {
        Bench bench;
        const CallId id = bench.Add(CallerVerb::Submit);
        bench.Send(id, kOwner);
        bench.mQueue.MarkAllUnsent();
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, bench.mQueue.Unsent().size());
        bench.mQueue.Expire(kBegin + 400ms);
        CPPUNIT_ASSERT(bench.mAnswers.empty());
        bench.mQueue.Expire(kBegin + 5s);
        CPPUNIT_ASSERT(bench.mAnswers.at(0) == CallerAnswerKind::Undetermined);
      });
    });
  aStory.Describe("a question", [](Section& aSection) {
    aSection.It("can be refused at any time, as it changes nothing", [] {
      Bench bench;
      bench.Send(bench.Add(CallerVerb::Ask), kOwner);
      bench.mQueue.AnswerAll();
      CPPUNIT_ASSERT(bench.mAnswers.at(0) == CallerAnswerKind::Refused);
    });
  });
  aStory.Describe(
    "a refusal by an owner that has been replaced", [](Section& aSection) {
      // The next owner may be the same node in a later term.
      for (const NodeId& next : { kNextOwner, kOwner }) {
        aSection.It(
          "does not reach a caller whose request went on to " + next.mValue,
          [next] {
            Bench bench;
            const CallId id = bench.Add(CallerVerb::Submit);
            const SendId first = bench.Send(id, kOwner);
            bench.mQueue.MarkAllUnsent();
            const SendId second = bench.Send(id, next);
            bench.mQueue.Answer(first, { .mKind = CallerAnswerKind::Refused });
            CPPUNIT_ASSERT(bench.mAnswers.empty());
            bench.mQueue.Answer(second,
                                { .mKind = CallerAnswerKind::Accepted });
            CPPUNIT_ASSERT(bench.mAnswers.at(0) == CallerAnswerKind::Accepted);
          });
      }
    });
  aStory.Describe("two answers to one request", [](Section& aSection) {
    aSection.It("give the caller the first", [] {
      Bench bench;
      const SendId send = bench.Send(bench.Add(CallerVerb::Submit), kOwner);
      bench.mQueue.Answer(send, { .mKind = CallerAnswerKind::Accepted });
      bench.mQueue.Answer(send, { .mKind = CallerAnswerKind::Refused });
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, bench.mAnswers.size());
      CPPUNIT_ASSERT(bench.mAnswers[0] == CallerAnswerKind::Accepted);
    });
  });
}

} // namespace oriolevane
