// Limits the rate of accepted requests, so that the backlog is served within
// the wait that each urgency tolerates.
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

// Has one token bucket per urgency, all sharing the rate R. The buckets are
// kept as virtual backlogs that drain in the order of urgency. A request waits
// only for the backlog of its own and higher urgencies, and is served at the
// rate R - r, where r is the smoothed rate at which requests of higher
// urgencies are admitted. A backlog b then causes a wait of at most b / (R -
// r). An urgency that tolerates the wait w therefore has a bucket of depth (R -
// r) x w. A request that would wait longer is refused with the time after which
// it would fit.
class Admission
{
public:
  // Sets the rate R, in requests per second. Zero or less refuses everything.
  void SetRate(double aPerSecond) { mRate = aPerSecond; }
  // Sets the weight that decides a team's share of a filled bucket. The default
  // is 1.
  void SetWeight(const TeamId& aTeam, double aWeight);

  // Admits and counts one request and returns nullopt, or refuses it and
  // returns the time to wait before a retry. Takes constant time.
  std::optional<std::chrono::milliseconds> AdmitOrRetryAfter(
    const TeamId& aTeam,
    protocol::Urgency aUrgency,
    std::chrono::duration<double> aToleratedWait,
    TimePoint aNow);

private:
  // The number of requests not yet served, by urgency.
  using Backlog = std::array<double, protocol::kUrgencyLevels>;
  struct TeamShare
  {
    double mWeight = 1;
    // The team's backlog, which drains at the team's share of the rate.
    Backlog mBacklog{};
    TimePoint mDrainedAt;
    bool mActive = false;
  };

  // Removes aRequests from the backlog, the most urgent first.
  static void Drain(Backlog& aBacklog, double aRequests);
  // Returns the part of the rate that the urgencies above aLevel leave over.
  double RemainingRate(std::size_t aLevel) const;
  // Returns the backlog of the urgency aLevel and of all higher ones.
  static double BacklogFrom(const Backlog& aBacklog, std::size_t aLevel);
  void DrainTeam(TeamShare& aTeam, TimePoint aNow);

  double mRate = 0;
  TimePoint mDrainedAt;
  Backlog mBacklog{};
  // Smoothed rates of admission by urgency, in requests per second.
  std::array<double, protocol::kUrgencyLevels> mAdmittedRates{};
  std::unordered_map<TeamId, TeamShare> mTeams;
  double mActiveWeight = 0;
};

} // namespace oriolevane::coordination::internal
