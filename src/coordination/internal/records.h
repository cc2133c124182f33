// The records in the journal of a request partition, and their encoding.
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

// An attempt of a never-repeat task whose placement the journal permits. The
// record must be durable before the attempt is sent to a placer.
struct DispatchedTask
{
  std::uint32_t mIndex = 0;
  std::uint32_t mAttempt = 0;
  ShardId mShard;

  bool operator==(const DispatchedTask&) const = default;
};

// The request was accepted under its id. mTasks has the same meaning as in
// DispatchedRecord; it saves a second write before the first placement.
struct AcceptedRecord
{
  protocol::RequestSpec mSpec;
  std::vector<DispatchedTask> mTasks;
};

// The attempts in mTasks may be sent to placers. Never-repeat tasks are placed
// only after this record is durable.
struct DispatchedRecord
{
  RequestId mId;
  std::vector<DispatchedTask> mTasks;
};

// The caller asked to cancel the request.
struct CancelledRecord
{
  RequestId mId;
};

// The request's final outcome, with the answers of its tasks.
struct FinishedRecord
{
  protocol::RequestStatus mStatus;
};

// The outcomes of Finished records with a sequence up to and including mUpTo
// are dropped.
struct ForgottenRecord
{
  std::uint64_t mUpTo = 0;
};

// Fills the sequence of a record that was discarded before it was written, so
// that the journal has no gap.
struct VoidRecord
{};

using Record = std::variant<VoidRecord,
                            AcceptedRecord,
                            DispatchedRecord,
                            CancelledRecord,
                            FinishedRecord,
                            ForgottenRecord>;

// A record with its sequence in the journal.
struct NumberedRecord
{
  std::uint64_t mSequence = 0;
  Record mRecord;
};

// Encodes the record as a CBOR array of sequence, kind and fields.
std::string
EncodeRecord(std::uint64_t aSequence, const Record& aRecord);

// Returns DataLoss for bytes that are not in the format of EncodeRecord.
absl::StatusOr<NumberedRecord>
DecodeRecord(std::string_view aBytes);

// Encodes the tasks as an array. Snapshots use the same encoding.
nlohmann::json
DispatchedToJson(const std::vector<DispatchedTask>& aTasks);
std::vector<DispatchedTask>
ReadDispatched(FieldReader& aReader);

// Returns a hash of the specification, which tells a repeated submission from a
// different request under the same id. It leaves out whether the caller waits.
std::uint64_t
SpecDigest(const protocol::RequestSpec& aSpec);

} // namespace oriolevane::coordination::internal
