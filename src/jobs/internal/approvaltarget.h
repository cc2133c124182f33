// Decides for how many workers a step should have the policy service's
// approval.
#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "jobs/internal/advicebudget.h"
#include "jobs/internal/job.h"
#include "jobs/internal/worker.h"

namespace oriolevane::jobs {

class ApprovalTarget
{
public:
  // aBudget must outlive this object.
  explicit ApprovalTarget(const AdviceBudget& aBudget)
    : mBudget(aBudget)
  {
  }

  // Sets the workers that may get tasks.
  void SetUsableWorkers(const std::vector<Worker*>& aUsable);
  // The number of usable workers of a pool.
  std::size_t UsableInPool(const PoolName& aPool) const;
  // The number of workers that should be approved for a step.
  std::size_t Of(const Job& aJob, const StepKey& aKey, const Step& aStep) const;
  // The same, raised while the approved workers have no room for the step. For
  // a gang, it is raised by RaiseForGang() only.
  std::size_t WithoutRoom(const Job& aJob,
                          const StepKey& aKey,
                          const Step& aStep,
                          TimePoint aNow) const;
  // Raises the number for a gang that finds no room on its approved workers,
  // when one of aUsable that it has not asked about has room for a member. In a
  // full cell, queries about more workers would not let it start sooner.
  void RaiseForGang(const Job& aJob,
                    const StepKey& aKey,
                    Step& aStep,
                    const std::vector<Worker*>& aUsable,
                    TimePoint aNow) const;
  // The number of further workers to ask about to reach the target, going by
  // the share of approvals in the queue's earlier answers.
  std::size_t CountToQuery(const Job& aJob,
                           const StepKey& aKey,
                           const Step& aStep,
                           std::size_t aTarget) const;
  // Notes how many of the workers that were asked about were approved.
  void NoteAnswer(const QueueName& aQueue,
                  std::size_t aApproved,
                  std::size_t aAsked);

private:
  // The usable workers of a pool.
  struct PoolWorkers
  {
    std::size_t mCount = 0;
    // Number of workers by capacity: thousandths of a core, and MiB. Few
    // capacities differ, so a mean over them is cheaper than one over workers.
    std::map<std::pair<std::int64_t, std::int64_t>, std::int64_t> mCapacities;
  };

  // The mean number of tasks that the empty workers of a pool hold, leaving out
  // those that hold none; 1 when all do.
  double MeanTasksPerWorker(const PoolName& aPool,
                            const Resources& aTask) const;

  const AdviceBudget& mBudget;
  std::map<PoolName, PoolWorkers> mUsableInPool;
  // Moving average of the share of queried workers that are approved, by queue.
  std::map<QueueName, double> mApprovalShare;
};

// The number of approved workers that would hold a task if they were empty.
// Approvals of workers that have shrunk are kept, as these may grow again.
std::size_t
CountApproved(const Step& aStep, const StepSpec& aSpec);

} // namespace oriolevane::jobs
