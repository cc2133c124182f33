// Connects a simulated cell to a policy service through the dispatcher that
// nodes use.
#pragma once

#include <map>

#include "cellnode/advicedispatcher.h"
#include "jobs/tests/fakecell.h"

namespace oriolevane::cellnode {

// A policy service that handles the queries of each node one after another.
class PolicyService
{
public:
  PolicyService(jobs::FakeCell& aCell, int aNodes)
    : mCell(aCell)
    , mDispatcher(Epoch(1),
                  { .mSend =
                      [this](const NodeId& aNode,
                             QueryId aId,
                             const jobs::AdviceQuery& aQuery) {
                        Handle(aNode, aId, aQuery);
                      },
                    .mUpdate =
                      [this](const jobs::AdviceQuery& aQuery) {
                        return mCell.Scheduler().UpdatedQuery(
                          aQuery, mCell.NowMoment());
                      },
                    .mOnUnanswered =
                      [this](const jobs::AdviceQuery& aQuery) {
                        mCell.Scheduler().OnAdvice({ .mStep = aQuery.mStep },
                                                   mCell.NowMoment());
                      },
                    .mNow = [this] { return mCell.NowMoment().mSteady; } })
  {
    for (int node = 0; node < aNodes; ++node) {
      mDispatcher.AddNode(NodeId("n" + std::to_string(node)));
    }
    mCell.Scheduler().SetQueryHosts(aNodes);
    mCell.mOnAdviceQuery = [this](const jobs::AdviceQuery& aQuery) {
      mDispatcher.Add(aQuery);
    };
  }
  const AdviceDispatcher& Dispatcher() const { return mDispatcher; }

private:
  static constexpr jobs::Millis kCallOverhead{ 2 };

  void Handle(const NodeId& aNode, QueryId aId, const jobs::AdviceQuery& aQuery)
  {
    jobs::Millis& freeAt = mNodeFreeAt[aNode];
    freeAt = std::max(freeAt, mCell.Now()) +
             std::chrono::ceil<jobs::Millis>(aQuery.mServiceTime) +
             kCallOverhead;
    mCell.ScheduleAfter(freeAt - mCell.Now(), [this, aId] {
      if (const auto query = mDispatcher.OnAnswer(aId); query.has_value()) {
        mCell.AnswerQuery(*query);
      }
    });
  }

  jobs::FakeCell& mCell;
  AdviceDispatcher mDispatcher;
  std::map<NodeId, jobs::Millis> mNodeFreeAt;
};

} // namespace oriolevane::cellnode
