#include "jobs/internal/teamorder.h"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

namespace oriolevane::jobs {

namespace {

// A candidate's position in the order of urgency, with its sort key.
struct RankedCandidate
{
  ObjectiveStatus mObjectiveStatus = ObjectiveStatus::OnTime;
  bool mBorrows = false;
  double mFairKey = 0;
  std::size_t mPosition = 0;

  auto Key() const
  {
    return std::tie(mObjectiveStatus, mBorrows, mFairKey, mPosition);
  }
};

Resources
WaitingResources(const Candidate& aCandidate)
{
  const auto waiting =
    std::count_if(aCandidate.mStep->mTasks.begin(),
                  aCandidate.mStep->mTasks.end(),
                  [](const Task& aTask) { return aTask.IsWaiting(); });
  return Times(aCandidate.Spec().mResources, waiting);
}

} // namespace

void
OrderForTeams(std::vector<Candidate>& aCandidates, const TeamAccounts& aTeams)
{
  std::vector<RankedCandidate> ranked;
  ranked.reserve(aCandidates.size());
  std::vector<teams::WaitingDemand> demands;
  for (const Candidate& candidate : aCandidates) {
    const JobRecord& record = candidate.mJob->mRecord;
    ranked.push_back({ .mObjectiveStatus = candidate.mUrgency.mObjectiveStatus,
                       .mBorrows = record.mBorrows,
                       .mPosition = ranked.size() });
    if (record.mBorrows) {
      demands.push_back(
        { .mTeam = &record.mTeam, .mResources = WaitingResources(candidate) });
    }
  }
  if (demands.empty()) {
    return;
  }
  const std::vector<double> keys = aTeams.FairKeys(demands);
  auto key = keys.begin();
  for (RankedCandidate& candidate : ranked) {
    if (candidate.mBorrows) {
      candidate.mFairKey = *key++;
    }
  }
  std::sort(ranked.begin(),
            ranked.end(),
            [](const RankedCandidate& aLeft, const RankedCandidate& aRight) {
              return aLeft.Key() < aRight.Key();
            });
  std::vector<Candidate> ordered;
  ordered.reserve(aCandidates.size());
  for (const RankedCandidate& candidate : ranked) {
    ordered.push_back(std::move(aCandidates[candidate.mPosition]));
  }
  aCandidates = std::move(ordered);
}

} // namespace oriolevane::jobs
