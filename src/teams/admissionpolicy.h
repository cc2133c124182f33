// Decides whether a job beyond its team's guarantee is refused at submission.
#pragma once

#include <chrono>
#include <optional>
#include <string_view>
#include <vector>

#include "framework/types/ids.h"
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
  // noted.
  void BeginPass();
  // Notes that guaranteed work of a team waits for capacity.
  void NoteGuaranteedWait(const TeamId& aTeam, Duration aWait);
  // Notes that a step of a borrowing job waits.
  void NoteBorrowingStep() { ++mBorrowingSteps; }

  // Returns when the caller should try again with a borrowing job, or nothing
  // when the job is admitted. It is refused while guaranteed work of other
  // teams has waited longer than the threshold. The delay grows with the
  // backlog of borrowing steps, and differs by job.
  std::optional<std::chrono::seconds> RetryAfter(const TeamId& aTeam,
                                                 std::string_view aJobId) const;

private:
  // Jobs a second that all teams are guaranteed.
  double mGuaranteedRate = 0;
  // The longest wait, and the longest one of another team.
  GuaranteedWait mLongest;
  GuaranteedWait mLongestOfOthers;
  std::size_t mBorrowingSteps = 0;
};

} // namespace oriolevane::teams
