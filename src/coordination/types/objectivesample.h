// What the report on service-level burn counts.
#pragma once

#include <chrono>
#include <optional>

#include "framework/types/ids.h"
#include "protocol/types/requestspec.h"

namespace oriolevane::coordination {

// One request's measure against its objective. mWaited is set when the request
// started, counted from submission; mDeadlineMet when a request with a deadline
// ended.
struct ObjectiveSample
{
  WorkloadId mWorkload;
  TeamId mTeam;
  protocol::Urgency mUrgency = protocol::Urgency::Normal;
  std::optional<std::chrono::milliseconds> mWaited;
  std::optional<bool> mDeadlineMet;
};

} // namespace oriolevane::coordination
