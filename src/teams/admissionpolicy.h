// Decides whether a job beyond its team's guarantee is refused at submission.
#pragma once

#include <chrono>
#include <optional>
#include <string_view>
#include <vector>

#include "framework/types/ids.h"
#include "framework/types/resources.h"
#include "framework/types/timepoint.h"
#include "teams/types/teampolicy.h"

namespace oriolevane::teams {

// The longest time that guaranteed work of a team has waited for capacity.
struct GuaranteedWait
{
  TeamId mTeam;
  Duration mWait{};
};

class AdmissionPolicy
{
public:
  void Configure(const std::vector<TeamPolicy>& aTeams);
  // Forgets the waits and the backlog, before those of a placement pass are
  // noted. aFree is the free capacity of the cell.
  void BeginPass(const Resources& aFree);
  // Notes that guaranteed work of a team waits for capacity.
  void NoteGuaranteedWait(const TeamId& aTeam, Duration aWait);
  // Notes that a step of a borrowing job waits.
  void NoteBorrowingStep() { ++mBorrowingSteps; }
  // Notes what waiting work needs, of any team.
  void NoteDemand(const Resources& aDemand) { mDemand += aDemand; }

  // Returns when the caller should try again with a borrowing job that needs
  // aDemand to start, or nothing when the job is admitted. It is refused while
  // guaranteed work of other teams has waited longer than the threshold, unless
  // the free capacity covers all that waits and the job. Counting only the
  // borrowing work that waits let a flooding team cost others up to 0.15 of
  // their value in a load trial, instead of 0.09. The delay grows with the
  // backlog of borrowing steps, and differs by job.
  std::optional<std::chrono::seconds> RetryAfter(
    const TeamId& aTeam,
    std::string_view aJobId,
    const Resources& aDemand) const;

private:
  // Jobs a second that all teams are guaranteed.
  double mGuaranteedRate = 0;
  // The longest wait, and the longest one of another team.
  GuaranteedWait mLongest;
  GuaranteedWait mLongestOfOthers;
  std::size_t mBorrowingSteps = 0;
  Resources mFree;
  // What all waiting work needs.
  Resources mDemand;
};

} // namespace oriolevane::teams
