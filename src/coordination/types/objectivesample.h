// Action: count a request in the service-level report.
#pragma once

#include <chrono>
#include <optional>

#include "framework/types/ids.h"
#include "protocol/types/requestspec.h"

namespace oriolevane::coordination {

// Measures one request against its service-level objective. mWaited, the time
// from submission to start, is set when the request starts. mDeadlineMet is set
// when a request with a deadline ends.
struct ObjectiveSample
{
  WorkloadId mWorkload;
  TeamId mTeam;
  protocol::Urgency mUrgency = protocol::Urgency::Normal;
  std::optional<std::chrono::milliseconds> mWaited;
  std::optional<bool> mDeadlineMet;
};

} // namespace oriolevane::coordination
