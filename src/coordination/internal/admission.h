// Limits the rate of accepted requests so that the backlog stays within the
// wait that each class tolerates.
#pragma once

#include <array>
#include <chrono>
#include <optional>
#include <unordered_map>

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "protocol/types/requestspec.h"
#include "protocol/types/sharddigest.h"

namespace oriolevane::coordination::internal {

// A token bucket per urgency over one rate R, kept as virtual backlogs that
// drain in the order of urgency: a request sees the backlog of its own and of
// higher urgencies only, and is served by what the higher ones leave of the
// rate. A backlog of b in front of a server that is left the rate R - r delays
// nothing longer than b / (R - r); so a class that tolerates the wait w gets
// the depth (R - r) x w, and what would wait longer is refused with the time
// after which it would not. r is the smoothed rate of the admitted higher
// urgencies.
class Admission
{
public:
  // Requests a second; zero or less refuses everything.
  void SetRate(double aPerSecond) { mRate = aPerSecond; }
  // The weight of a team in sharing a full bucket.
  void SetWeight(const TeamId& aTeam, double aWeight);

  // Admits and counts one request, or gives the time after which another try
  // is worth it. Constant cost.
  std::optional<std::chrono::milliseconds> Refuse(
    const TeamId& aTeam,
    protocol::Urgency aUrgency,
    std::chrono::duration<double> aToleratedWait,
    TimePoint aNow);

private:
  // Requests by urgency that are still to be served.
  using Backlog = std::array<double, protocol::kUrgencyLevels>;
  struct TeamShare
  {
    double mWeight = 1;
    // Drains at the team's share of the rate.
    Backlog mBacklog{};
    TimePoint mAsOf;
    bool mActive = false;
  };

  static void Drain(Backlog& aBacklog, double aRequests);
  // What the urgencies above the level leave of the rate.
  double RateLeft(std::size_t aLevel) const;
  static double Ahead(const Backlog& aBacklog, std::size_t aLevel);
  void DrainTeam(TeamShare& aTeam, TimePoint aNow);

  double mRate = 0;
  TimePoint mAsOf;
  Backlog mBacklog{};
  // Smoothed rates of admitted requests a second, by urgency.
  std::array<double, protocol::kUrgencyLevels> mAdmittedRates{};
  std::unordered_map<TeamId, TeamShare> mTeams;
  double mActiveWeight = 0;
};

} // namespace oriolevane::coordination::internal
