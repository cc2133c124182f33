// Decides when to query the policy service about a step, and which workers to
// name in the query.
#pragma once

#include <optional>
#include <vector>

#include "jobs/internal/advicebudget.h"
#include "jobs/internal/approvaltarget.h"
#include "jobs/internal/cellstate.h"

namespace oriolevane::jobs {

class AdvicePlanner
{
public:
  explicit AdvicePlanner(CellState& aCell)
    : mCell(aCell)
  {
  }

  // Sets the workers that queries may name, in the fixed order in which single
  // tasks fill them.
  // aSpeedsKnown is true when gangs should avoid slow workers.
  void SetUsableWorkers(const std::vector<Worker*>& aUsable, bool aSpeedsKnown);
  // Begins a dispatch pass, with the queries that all steps have pending.
  void BeginPass(const PendingAdvice& aPending)
  {
    mBudget.BeginPass(mCell.mQueryHosts, aPending);
  }
  // Returns true when a waiting step may have its tickets renewed. To be called
  // once in a pass for each step that has an answer, the most urgent first.
  bool TakeRenewal(const QueuePolicy& aQueue, const StepSpec& aSpec)
  {
    return mBudget.TakeRenewal(aQueue, aSpec.mLongRunning);
  }
  // The same for a step that could start with new tickets, once TakeRenewal()
  // has returned false for it.
  bool TakeRenewalWithRoom(const QueuePolicy& aQueue)
  {
    return mBudget.TakeRenewalWithRoom(aQueue);
  }
  // Sends a query for a step that is waiting to start when too few workers are
  // approved, or when tickets would expire before the answer arrives.
  void QueryIfNeeded(const Job& aJob,
                     const StepKey& aKey,
                     Step& aStep,
                     TimePoint aNow);
  // Sends the first query for a step whose prerequisites are expected to finish
  // soon, so that the answer is there when the step becomes ready.
  void QueryAhead(Job& aJob, const StepKey& aKey, TimePoint aNow);
  // Returns the query to send in place of one that has waited. Returns nothing
  // when no task of the step waits any more, or there is no worker to ask
  // about.
  std::optional<AdviceQuery> Update(const AdviceQuery& aQuery, TimePoint aNow);
  // Stores the approvals and tickets of an answer. An answer for a step that is
  // no longer known is ignored.
  void OnAnswer(const AdviceAnswer& aAnswer, TimePoint aNow);
  // Compares the queries that steps wait for with those that are pending, and
  // forgets the others. Returns how many it has forgotten.
  std::size_t CheckPendingQueries(const QueryCounts& aPending, TimePoint aNow);
  // The longest time for which a step had waited for answers at the last check.
  Duration LongestWait() const { return mLongestWait; }
  // Removes a worker from all advice after it has left or restarted, since its
  // tickets are void.
  void RemoveWorker(const Worker* aWorker);

private:
  // Does the same for one step.
  std::size_t ForgetLostQueries(const StepKey& aKey,
                                StepAdvice& aAdvice,
                                const QueryCounts& aPending,
                                TimePoint aNow);
  // Sends a round of queries unless one is pending or there is no worker to ask
  // about.
  void SendQueries(const Job& aJob,
                   const StepKey& aKey,
                   Step& aStep,
                   TimePoint aNow);
  static AdviceQuery MakeQuery(const Job& aJob,
                               const StepKey& aKey,
                               std::vector<WorkerId> aWorkers);
  // Selects the workers for a round of queries: workers whose tickets are about
  // to expire, then workers not yet asked about, the highest score first.
  std::vector<Worker*> SelectWorkers(const Job& aJob,
                                     const StepKey& aKey,
                                     const Step& aStep,
                                     TimePoint aNow) const;

  CellState& mCell;
  bool mSpeedsKnown = false;
  std::vector<Worker*> mUsable;
  Duration mLongestWait{};
  AdviceBudget mBudget;
  ApprovalTarget mTarget{ mBudget };
};

} // namespace oriolevane::jobs
