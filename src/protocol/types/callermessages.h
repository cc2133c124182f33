// What a gateway asks the coordinator of a request's partition, on the same
// node or another, and the reply.
#pragma once

#include <cstdint>
#include <variant>

#include "framework/types/ids.h"
#include "protocol/types/requestspec.h"
#include "protocol/types/requeststatus.h"

namespace oriolevane::protocol {

// Submit; replied to at once when refused or not waiting, otherwise when the
// outcome is final.
struct SubmitCall
{
  RequestSpec mSpec;

  bool operator==(const SubmitCall&) const = default;
};

struct StatusCall
{
  RequestId mId;
  bool mExplain = false;
  // Reply when the outcome is final instead of at once.
  bool mWait = false;

  bool operator==(const StatusCall&) const = default;
};

// Replied to when the cancellation is recorded, with the outcome as then known.
struct CancelCall
{
  RequestId mId;

  bool operator==(const CancelCall&) const = default;
};

using CallBody = std::variant<SubmitCall, StatusCall, CancelCall>;

// mCall is unique per asking node and incarnation.
struct CallerCall
{
  std::uint64_t mCall = 0;
  PartitionId mPartition;
  CallBody mBody;

  bool operator==(const CallerCall&) const = default;
};

struct CallerReply
{
  std::uint64_t mCall = 0;
  RequestStatus mStatus;

  bool operator==(const CallerReply&) const = default;
};

} // namespace oriolevane::protocol
