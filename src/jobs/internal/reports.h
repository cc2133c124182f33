// Takes in what workers answer to polls and to orders.
#pragma once

#include "jobs/internal/adviceplanner.h"
#include "jobs/internal/cellstate.h"
#include "jobs/internal/outcomes.h"
#include "jobs/internal/runbook.h"

namespace oriolevane::jobs {

class Reports
{
public:
  Reports(CellState& aCell,
          RunBook& aRuns,
          Outcomes& aOutcomes,
          AdvicePlanner& aAdvice)
    : mCell(aCell)
    , mRuns(aRuns)
    , mOutcomes(aOutcomes)
    , mAdvice(aAdvice)
  {
  }

  // aSentAt is when the poll was sent.
  void OnPollAnswer(const PollOrder& aPoll,
                    TimePoint aSentAt,
                    const PollAnswer& aAnswer,
                    const Moment& aNow);
  void OnStartAnswer(const StartOrder& aOrder,
                     const OrderAnswer& aAnswer,
                     const Moment& aNow);
  // Ends the runs on workers whose leases have expired unheard.
  void ExpireLeases(const Moment& aNow);

private:
  void TakeReport(Worker& aWorker,
                  const PollOrder& aPoll,
                  TimePoint aSentAt,
                  const WorkerReport& aReport,
                  const Moment& aNow);
  void TakeEnds(Worker& aWorker,
                const WorkerReport& aReport,
                const Moment& aNow);
  void TakeRunning(Worker& aWorker,
                   const WorkerReport& aReport,
                   const Moment& aNow);
  void DropAbsent(Worker& aWorker,
                  const PollOrder& aPoll,
                  TimePoint aSentAt,
                  const WorkerReport& aReport,
                  const Moment& aNow);

  CellState& mCell;
  RunBook& mRuns;
  Outcomes& mOutcomes;
  AdvicePlanner& mAdvice;
};

} // namespace oriolevane::jobs
