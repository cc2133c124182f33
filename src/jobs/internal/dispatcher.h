// Decides which waiting tasks start, and where.
#pragma once

#include <vector>

#include "jobs/internal/adviceplanner.h"
#include "jobs/internal/cellstate.h"
#include "jobs/internal/gangroom.h"
#include "jobs/internal/runbook.h"
#include "jobs/internal/urgency.h"

namespace oriolevane::jobs {

class Dispatcher
{
public:
  Dispatcher(CellState& aCell, RunBook& aRuns, AdvicePlanner& aAdvice)
    : mCell(aCell)
    , mRuns(aRuns)
    , mAdvice(aAdvice)
    , mGangRoom(aCell)
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
  // A worker that a step may use, with the ticket for it if one is needed.
  struct Place
  {
    Worker* mWorker = nullptr;
    const std::string* mTicket = nullptr;
    // Members of the gang that is being placed.
    int mPlanned = 0;
  };

  std::vector<Candidate> Collect(const Moment& aNow, bool aResolved);
  void CollectJob(Job& aJob,
                  const Moment& aNow,
                  std::vector<Candidate>& aCandidates);
  double SinglesShare(const std::vector<Candidate>& aCandidates) const;
  void FindUsableWorkers(TimePoint aNow);
  // False when nothing has changed since a start was tried in vain.
  bool IsWorthTrying(const Candidate& aCandidate) const;
  void PlaceEach(const Candidate& aCandidate, const Moment& aNow);
  void NoteStarted(const Candidate& aCandidate,
                   std::size_t aAllowed,
                   const Moment& aNow) const;
  void PlaceGang(const Candidate& aCandidate, const Moment& aNow);
  // Workers that the step may use, whether or not a ticket is valid now.
  std::vector<Worker*> ApprovedWorkers(const Candidate& aCandidate) const;
  std::vector<Place> AllowedPlaces(const Candidate& aCandidate,
                                   TimePoint aNow) const;
  static bool MayUse(const Worker& aWorker,
                     const QueuePolicy& aQueue,
                     const StepSpec& aSpec);
  Place* Choose(const Candidate& aCandidate, std::vector<Place>& aAllowed);
  double Cost(const Worker& aWorker, const StepSpec& aSpec) const;
  void NoteInVain(Step& aStep) const;
  static bool IsBelowLimit(const Place& aPlace,
                           const StepKey& aStep,
                           const StepSpec& aSpec);
  void StartOn(const Candidate& aCandidate,
               int aIndex,
               RunNumber aNumber,
               const Place& aPlace,
               const std::string& aCheckpoint,
               TimePoint aNow);

  CellState& mCell;
  RunBook& mRuns;
  AdvicePlanner& mAdvice;
  std::vector<Worker*> mUsable;
  GangRoom mGangRoom;
  // Share of the workers that single tasks with ample slack may use.
  double mSinglesShare = 1.0;
  // Room that is kept for others has held something back in this try.
  bool mHeldBack = false;
  TimePoint mNow;
};

} // namespace oriolevane::jobs
