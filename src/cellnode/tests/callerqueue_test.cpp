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
        bench.mQueue.MarkSent(id, kOwner);
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
      bench.mQueue.MarkSent(bench.Add(CallerVerb::Ask), kOwner);
      bench.mQueue.AnswerAll();
      CPPUNIT_ASSERT(bench.mAnswers.at(0) == CallerAnswerKind::Refused);
    });
  });
  aStory.Describe(
    "a refusal by an owner that has been replaced", [](Section& aSection) {
      aSection.It("does not reach a caller whose request went on", [] {
        Bench bench;
        const CallId id = bench.Add(CallerVerb::Submit);
        bench.mQueue.MarkSent(id, kOwner);
        bench.mQueue.MarkAllUnsent();
        bench.mQueue.MarkSent(id, kNextOwner);
        bench.mQueue.AnswerFrom(
          kOwner, id, { .mKind = CallerAnswerKind::Refused });
        CPPUNIT_ASSERT(bench.mAnswers.empty());
        bench.mQueue.AnswerFrom(
          kNextOwner, id, { .mKind = CallerAnswerKind::Accepted });
        CPPUNIT_ASSERT(bench.mAnswers.at(0) == CallerAnswerKind::Accepted);
      });
    });
  aStory.Describe("two answers to one request", [](Section& aSection) {
    aSection.It("give the caller the first", [] {
      Bench bench;
      const CallId id = bench.Add(CallerVerb::Submit);
      bench.mQueue.MarkSent(id, kOwner);
      bench.mQueue.AnswerFrom(
        kOwner, id, { .mKind = CallerAnswerKind::Accepted });
      bench.mQueue.AnswerFrom(
        kOwner, id, { .mKind = CallerAnswerKind::Refused });
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, bench.mAnswers.size());
      CPPUNIT_ASSERT(bench.mAnswers[0] == CallerAnswerKind::Accepted);
    });
  });
}

} // namespace oriolevane
