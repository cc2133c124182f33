// What the journal of a partition holds.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <absl/status/statusor.h>

#include "coordination/internal/cborfields.h"
#include "framework/types/ids.h"
#include "protocol/types/requestspec.h"
#include "protocol/types/requeststatus.h"

namespace oriolevane::coordination::internal {

// One task of a never-repeat request that may be sent to a placer.
struct DispatchedTask
{
  std::uint32_t mIndex = 0;
  std::uint32_t mAttempt = 0;
  ShardId mShard;

  bool operator==(const DispatchedTask&) const = default;
};

// The request is accepted under its id. mTasks are as in DispatchedRecord.
struct AcceptedRecord
{
  protocol::RequestSpec mSpec;
  std::vector<DispatchedTask> mTasks;
};

// Precedes the placement of never-repeat tasks.
struct DispatchedRecord
{
  RequestId mId;
  std::vector<DispatchedTask> mTasks;
};

// The caller asked to cancel.
struct CancelledRecord
{
  RequestId mId;
};

// The final outcome with its answers.
struct FinishedRecord
{
  protocol::RequestStatus mStatus;
};

// Outcomes whose records have a sequence up to this one are dropped.
struct ForgottenRecord
{
  std::uint64_t mUpTo = 0;
};

// Takes the sequence of a record that was given up before it was written.
struct VoidRecord
{};

using Record = std::variant<VoidRecord,
                            AcceptedRecord,
                            DispatchedRecord,
                            CancelledRecord,
                            FinishedRecord,
                            ForgottenRecord>;

struct NumberedRecord
{
  std::uint64_t mSequence = 0;
  Record mRecord;
};

// CBOR: an array of sequence, kind and fields.
std::string
EncodeRecord(std::uint64_t aSequence, const Record& aRecord);

// DataLoss for anything that EncodeRecord does not make.
absl::StatusOr<NumberedRecord>
DecodeRecord(std::string_view aBytes);

// The tasks as an array, also for snapshots.
nlohmann::json
DispatchedToJson(const std::vector<DispatchedTask>& aTasks);
std::vector<DispatchedTask>
ReadDispatched(FieldReader& aReader);

// Hash over what the caller asked for, to tell a repeated submission from
// another one under the same id. Whether the caller waits is left out.
std::uint64_t
SpecDigest(const protocol::RequestSpec& aSpec);

} // namespace oriolevane::coordination::internal
