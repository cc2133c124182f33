// What a caller asks for.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "framework/types/ids.h"
#include "framework/types/resources.h"

namespace oriolevane::protocol {

enum class Urgency : std::uint8_t
{
  Low,
  Normal,
  Urgent
};

// A validated request. The id is derived from the team and the idempotency key,
// or made fresh.
struct RequestSpec
{
  RequestId mId;
  TeamId mTeam;
  WorkloadId mWorkload;
  Urgency mUrgency = Urgency::Normal;
  // At most one start, ever; a lost worker ends it as "may have run".
  bool mNeverRepeat = false;
  // The caller holds its connection open for the answer. Otherwise the request
  // must be durable before it is accepted.
  bool mCallerWaits = false;
  // Long-lived: runs until cancelled, restarted when it ends on its own.
  bool mService = false;
  // All tasks start together or none does.
  bool mStartTogether = false;
  std::uint32_t mTaskCount = 1;
  Resources mPerTask;
  // As declared by the caller; often far off.
  std::chrono::milliseconds mDeclaredRunTime{ 0 };
  // From submission; after it the answer has no use and the request is given
  // up.
  std::optional<std::chrono::milliseconds> mDeadline;
  // Opaque input handed to each task.
  std::string mPayload;

  bool operator==(const RequestSpec&) const = default;
};

} // namespace oriolevane::protocol
