// Which workers the policy service allows for a step, and the tickets for them.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "jobs/types/cellconfiguration.h"
#include "jobs/types/orders.h"

namespace oriolevane::jobs {

class AdviceBook
{
public:
  // The ticket of a worker that can still be used at a time; nothing otherwise.
  const std::string* TicketFor(const StepKey& aStep,
                               const WorkerId& aWorker,
                               TimePoint aNow) const;
  // True when the service has allowed the worker, whether or not its ticket can
  // still be used.
  bool IsApproved(const StepKey& aStep, const WorkerId& aWorker) const;
  bool HasAnswer(const StepKey& aStep) const;
  // True when tickets for the step can be used until that time.
  bool IsFreshUntil(const StepKey& aStep, TimePoint aTime) const;
  // Asks unless a query for the step is on its way. Repeated queries name only
  // the workers that were not refused before.
  void Ask(const StepKey& aStep,
           const AdvicePolicy& aPolicy,
           const std::vector<WorkerId>& aCandidates,
           TimePoint aNow,
           const std::function<void(const AdviceQuery&)>& aSend);
  void Answer(const AdviceAnswer& aAnswer, TimePoint aNow);
  // A start with the worker's ticket was refused.
  void DropTicket(const StepKey& aStep, const WorkerId& aWorker);
  void DropWorker(const WorkerId& aWorker);
  void ForgetJob(const JobId& aJob);

private:
  struct Ticket
  {
    std::string mText;
    TimePoint mUsableUntil;
  };
  struct StepAdvice
  {
    bool mAsking = false;
    TimePoint mAskedAt;
    bool mAnswered = false;
    TimePoint mFreshUntil;
    std::set<WorkerId> mAsked;
    std::map<WorkerId, Ticket> mApproved;
  };

  const StepAdvice* Find(const StepKey& aStep) const;

  std::map<StepKey, StepAdvice> mSteps;
};

} // namespace oriolevane::jobs
