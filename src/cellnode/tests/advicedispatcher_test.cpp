#include "cellnode/advicedispatcher.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

#include "cellnode/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;
using namespace std::chrono_literals;

namespace {

struct SentQuery
{
  NodeId mNode;
  QueryId mId;
  jobs::AdviceQuery mQuery;
};

struct Fixture
{
  std::vector<SentQuery> mSent;
  std::vector<int> mUnanswered;
  std::set<int> mUnwanted;
  TimePoint mNow;
  AdviceDispatcher mAdviceDispatcher;

  explicit Fixture(int aNodes)
    : mAdviceDispatcher(Epoch(1),
                        { .mSend =
                            [this](const NodeId& aNode,
                                   QueryId aId,
                                   const jobs::AdviceQuery& aQuery) {
                              mSent.push_back({ aNode, aId, aQuery });
                            },
                          .mUpdate = [this](const jobs::AdviceQuery& aQuery)
                            -> std::optional<jobs::AdviceQuery> {
                            if (mUnwanted.contains(aQuery.mStep.mStep)) {
                              return std::nullopt;
                            }
                            return aQuery;
                          },
                          .mOnUnanswered =
                            [this](const jobs::AdviceQuery& aQuery) {
                              mUnanswered.push_back(aQuery.mStep.mStep);
                            },
                          .mNow = [this] { return mNow; } })
  {
    for (int node = 0; node < aNodes; ++node) {
      mAdviceDispatcher.AddNode(NodeId(fmt::format("n{}", node)));
    }
  }
  void AddQuery(std::chrono::microseconds aServiceTime,
                int aStep = 0,
                bool aBoundedWait = false)
  {
    mAdviceDispatcher.Add({ .mStep = { .mStep = aStep },
                            .mWorkers = {},
                            .mServiceTime = aServiceTime,
                            .mBoundedWait = aBoundedWait });
  }
  // Answers the query that was sent last, some times over.
  void AnswerAndAdvance(int aTimes, std::chrono::milliseconds aStep)
  {
    for (int answer = 0; answer < aTimes; ++answer) {
      mNow += aStep;
      mAdviceDispatcher.OnAnswer(mSent.back().mId);
    }
  }
};

void
DescribeWaitingQueries(Section& aRoot)
{
  aRoot.Describe("queries that wait for a node", [](Section& aSection) {
    // Guards against a cost that grows with the square of the queries, which
    // kept an owner from its heartbeats; the test then runs into its timeout.
    aSection.It("are not gone through for each query and answer", [] {
      constexpr int kNodes = 150;
      constexpr int kQueries = 50000;
      Fixture fixture(kNodes);
      for (int query = 0; query < kQueries; ++query) {
        fixture.AddQuery(700ms, query);
      }
      for (int query = 0; query < kQueries; ++query) {
        fixture.mAdviceDispatcher.OnAnswer(fixture.mSent[query].mId);
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{ kQueries }, fixture.mSent.size());
    });
    aSection.It("are dropped once nobody needs their answers", [] {
      Fixture fixture(1);
      fixture.AddQuery(700ms, 1);
      fixture.AddQuery(500ms, 2);
      fixture.AddQuery(600ms, 3);
      fixture.mUnwanted = { 2 };
      fixture.mAdviceDispatcher.OnAnswer(fixture.mSent[0].mId);
      CPPUNIT_ASSERT_EQUAL(3, fixture.mSent[1].mQuery.mStep.mStep);
      CPPUNIT_ASSERT(fixture.mUnanswered == std::vector<int>{ 2 });
    });
    // Long-running tasks lost their workers, and the queries about them waited
    // behind shorter ones for as long as these kept coming.
    aSection.It("do not wait forever behind shorter ones that keep coming", [] {
      Fixture fixture(2);
      fixture.AddQuery(400ms, 1);
      fixture.AddQuery(750ms, 99);
      for (int query = 2; query < 20; ++query) {
        fixture.AddQuery(400ms, query);
        fixture.mNow += 400ms;
        fixture.mAdviceDispatcher.OnAnswer(fixture.mSent.back().mId);
        if (fixture.mSent.back().mQuery.mStep.mStep == 99) {
          break;
        }
      }
      CPPUNIT_ASSERT_EQUAL(99, fixture.mSent.back().mQuery.mStep.mStep);
      CPPUNIT_ASSERT(fixture.mNow.time_since_epoch() <= 3500ms);
    });
    aSection.It("leave the shortest ones first", [] {
      Fixture fixture(1);
      fixture.AddQuery(700ms, 1);
      fixture.AddQuery(500ms, 2);
      fixture.AddQuery(10ms, 3);
      fixture.mAdviceDispatcher.OnAnswer(fixture.mSent[0].mId);
      CPPUNIT_ASSERT_EQUAL(3, fixture.mSent[1].mQuery.mStep.mStep);
      CPPUNIT_ASSERT_EQUAL(2, fixture.mSent[2].mQuery.mStep.mStep);
    });
  });
}

void
DescribeBoundedWaits(Section& aRoot)
{
  aRoot.Describe(
    "queries about steps with a bounded wait", [](Section& aSection) {
      aSection.It("are sent before others that have waited for long", [] {
        Fixture fixture(1);
        for (int query = 1; query <= 50; ++query) {
          fixture.AddQuery(600ms, query);
        }
        fixture.AnswerAndAdvance(10, 600ms);
        fixture.AddQuery(700ms, 99, true);
        fixture.AnswerAndAdvance(1, 600ms);
        CPPUNIT_ASSERT_EQUAL(99, fixture.mSent.back().mQuery.mStep.mStep);
      });
      aSection.It("leave a turn in four to the others", [] {
        Fixture fixture(1);
        fixture.AddQuery(600ms);
        for (int query = 1; query <= 50; ++query) {
          fixture.AddQuery(600ms, query, query > 10);
        }
        fixture.AnswerAndAdvance(20, 600ms);
        const auto others = std::count_if(
          fixture.mSent.begin() + 1,
          fixture.mSent.end(),
          [](const SentQuery& aSent) { return !aSent.mQuery.mBoundedWait; });
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{ 5 }, others);
      });
    });
}

void
DescribeLongQueries(Section& aRoot)
{
  aRoot.Describe("long queries", [](Section& aSection) {
    aSection.It("leave one node in four free for short ones", [] {
      Fixture fixture(4);
      for (int query = 0; query < 6; ++query) {
        fixture.AddQuery(700ms);
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, fixture.mSent.size());
      fixture.AddQuery(10ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, fixture.mSent.size());
      CPPUNIT_ASSERT(fixture.mSent[3].mNode == NodeId("n0"));
    });
    // Guards against review/10: with few nodes left, half of them had nothing
    // to do while long queries waited for 20 s.
    aSection.It("get an idle node that is kept for short ones in the end", [] {
      Fixture fixture(2);
      fixture.AddQuery(700ms, 1);
      fixture.AddQuery(700ms, 2);
      fixture.mNow += 1900ms;
      fixture.mAdviceDispatcher.Expire();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mSent.size());
      fixture.mNow += 200ms;
      fixture.mAdviceDispatcher.Expire();
      CPPUNIT_ASSERT_EQUAL(2, fixture.mSent.at(1).mQuery.mStep.mStep);
      CPPUNIT_ASSERT(fixture.mSent[1].mNode == NodeId("n0"));
    });
    aSection.It("get no node that has short ones to send", [] {
      Fixture fixture(2);
      fixture.AddQuery(700ms, 1);
      fixture.AddQuery(700ms, 2);
      fixture.AddQuery(10ms, 3);
      fixture.mNow += 2100ms;
      fixture.mAdviceDispatcher.Expire();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.mSent.size());
    });
    aSection.It("are sent when there is only one node", [] {
      Fixture fixture(1);
      fixture.AddQuery(700ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mSent.size());
    });
    aSection.It("are sent when an earlier one is answered", [] {
      Fixture fixture(2);
      fixture.AddQuery(700ms, 1);
      fixture.AddQuery(700ms, 2);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mSent.size());
      CPPUNIT_ASSERT(fixture.mAdviceDispatcher.OnAnswer(fixture.mSent[0].mId));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.mSent.size());
      CPPUNIT_ASSERT(!fixture.mAdviceDispatcher.OnAnswer(fixture.mSent[0].mId));
    });
  });
}

} // namespace

void
AdviceDispatcherTests(Section& aRoot)
{
  DescribeLongQueries(aRoot);
  DescribeWaitingQueries(aRoot);
  DescribeBoundedWaits(aRoot);
  aRoot.Describe("a node that loses an answer", [](Section& aSection) {
    aSection.It("gets other queries after a time, and the loss is told", [] {
      Fixture fixture(1);
      fixture.AddQuery(700ms, 1);
      fixture.AddQuery(700ms, 2);
      fixture.mNow += 4s;
      fixture.mAdviceDispatcher.Expire();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mSent.size());
      fixture.mNow += 1s;
      fixture.mAdviceDispatcher.Expire();
      CPPUNIT_ASSERT(fixture.mUnanswered == std::vector<int>{ 1 });
      CPPUNIT_ASSERT_EQUAL(2, fixture.mSent[1].mQuery.mStep.mStep);
      CPPUNIT_ASSERT(!fixture.mAdviceDispatcher.OnAnswer(fixture.mSent[0].mId));
    });
  });
  aRoot.Describe("a removed node", [](Section& aSection) {
    aSection.It("has its queries reassigned to the others", [] {
      Fixture fixture(2);
      fixture.AddQuery(30ms, 1);
      const NodeId first = fixture.mSent[0].mNode;
      fixture.mAdviceDispatcher.RemoveNode(first);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.mSent.size());
      CPPUNIT_ASSERT(fixture.mSent[1].mNode != first);
      CPPUNIT_ASSERT_EQUAL(1, fixture.mSent[1].mQuery.mStep.mStep);
    });
    // Guards against an answer about some workers that is taken for one about
    // the others that the query names by now.
    aSection.It("does not answer them any more", [] {
      Fixture fixture(2);
      fixture.AddQuery(30ms, 1);
      fixture.mAdviceDispatcher.RemoveNode(fixture.mSent[0].mNode);
      CPPUNIT_ASSERT(!fixture.mAdviceDispatcher.OnAnswer(fixture.mSent[0].mId));
      CPPUNIT_ASSERT(fixture.mAdviceDispatcher.OnAnswer(fixture.mSent[1].mId));
    });
  });
  aRoot.Describe("waiting queries", [](Section& aSection) {
    aSection.It("are sent shortest first", [] {
      Fixture fixture(1);
      fixture.AddQuery(400ms, 1);
      fixture.AddQuery(400ms, 2);
      fixture.AddQuery(10ms, 3);
      fixture.mAdviceDispatcher.OnAnswer(fixture.mSent[0].mId);
      CPPUNIT_ASSERT_EQUAL(3, fixture.mSent[1].mQuery.mStep.mStep);
    });
  });
}

} // namespace oriolevane
