// Decides which waiting tasks start, and where.
#pragma once

#include <vector>

#include "jobs/internal/cellstate.h"
#include "jobs/internal/runbook.h"
#include "jobs/internal/urgency.h"

namespace oriolevane::jobs {

class Dispatcher
{
public:
  Dispatcher(CellState& aCell, RunBook& aRuns)
    : mCell(aCell)
    , mRuns(aRuns)
  {
  }

  // Starts what can start now, and asks for the advice that it or what comes
  // soon needs. Work of an earlier owner starts only when aResolved.
  void Dispatch(const Moment& aNow, bool aResolved);

private:
  struct Candidate
  {
    Job* mJob = nullptr;
    Step* mStep = nullptr;
    StepKey mKey;
    Urgency mUrgency;
  };
  struct Placement
  {
    int mIndex = 0;
    Worker* mWorker = nullptr;
  };

  std::vector<Candidate> Collect(const Moment& aNow, bool aResolved);
  void CollectJob(Job& aJob,
                  const Moment& aNow,
                  std::vector<Candidate>& aCandidates);
  void FindUsableWorkers(TimePoint aNow);
  // Asks ahead for steps whose earlier steps end soon.
  void AskAhead(Job& aJob, const StepKey& aStep, const Moment& aNow);
  void AskFor(const Job& aJob, const StepKey& aStep, TimePoint aNow);
  void KeepAdviceFresh(const Candidate& aCandidate, TimePoint aNow);
  void PlaceEach(const Candidate& aCandidate, const Moment& aNow);
  void PlaceGang(const Candidate& aCandidate, const Moment& aNow);
  // Workers that the step may use, by the order of the fleet.
  std::vector<Worker*> AllowedWorkers(const Candidate& aCandidate,
                                      TimePoint aNow) const;
  Worker* Choose(const Candidate& aCandidate,
                 const std::vector<Worker*>& aAllowed) const;
  double Cost(const Worker& aWorker, const StepSpec& aSpec) const;
  static bool IsBelowLimit(const Worker& aWorker,
                           const StepKey& aStep,
                           const StepSpec& aSpec);
  void StartOn(const Candidate& aCandidate,
               int aIndex,
               RunNumber aNumber,
               Worker& aWorker,
               const std::string& aCheckpoint,
               TimePoint aNow);

  CellState& mCell;
  RunBook& mRuns;
  std::vector<Worker*> mUsable;
};

} // namespace oriolevane::jobs
