// What the scheduler reports about teams.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "framework/types/ids.h"
#include "framework/types/resources.h"

namespace oriolevane::jobs {

// Why a job is refused on account of its team.
enum class RefusalReason
{
  // A gang of the job could not start even if its team had nothing else
  // running.
  GangExceedsQuota,
  // The job exceeds its team's guaranteed rate, and guaranteed work of other
  // teams waits for capacity.
  GuaranteedWorkWaits
};

// Returns the name of the reason in metrics and log lines.
std::string_view
ToText(RefusalReason aReason);

struct Refusal
{
  RefusalReason mReason = RefusalReason::GangExceedsQuota;
  // When the caller should try again; nothing when it would be in vain.
  std::optional<std::chrono::seconds> mRetryAfter;
  // An explanation for the caller.
  std::string mMessage;
};

// Gauges and counters of one team.
struct TeamCounts
{
  TeamId mTeam;
  // Resources of the runs that occupy capacity on workers.
  Resources mRunning;
  // Accepted jobs that have not started yet.
  std::size_t mWaitingJobs = 0;
  // Amounts of 0 are no limit.
  Resources mQuota;
  // The largest part of any one resource of the cell that the runs use.
  double mDominantShare = 0;
  std::map<RefusalReason, std::uint64_t> mRefused;
};

} // namespace oriolevane::jobs
