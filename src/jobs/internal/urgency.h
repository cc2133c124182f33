// Which work comes first.
#pragma once

#include <compare>

#include "jobs/internal/job.h"
#include "jobs/types/scheduleroptions.h"

namespace oriolevane::jobs {

// Work that can still meet its objective comes first, then work that is late
// but still of use to its caller, then the rest.
enum class Punctuality
{
  OnTime,
  Late,
  Hopeless
};

struct Urgency
{
  Punctuality mPunctuality = Punctuality::OnTime;
  int mPriority = 0;
  // How long its start can wait before the objective is missed.
  Duration mSlack{};

  auto operator<=>(const Urgency&) const = default;
};

// Time of the longest chain of steps, or of what is left of it from one step.
Duration
ChainFrom(const JobRecord& aRecord, int aStep);
Duration
LongestChain(const JobRecord& aRecord);

// When an occurrence of a job should be done, counted from its acceptance or
// from when it is due.
Duration
ObjectiveOf(const JobRecord& aRecord);

Urgency
UrgencyOf(const Job& aJob, const StepKey& aStep, const Moment& aNow);

} // namespace oriolevane::jobs
