// Texts of rows: records of jobs, and the owner of a shard. Readers take only
// whole records and say what is wrong otherwise.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "cellnode/types/ownerrow.h"
#include "jobs/types/jobrecord.h"

namespace oriolevane::cellnode {

std::string
Encode(const jobs::JobRecord& aRecord);
std::string
Encode(const jobs::ProgressRecord& aRecord);
std::string
Encode(const jobs::FinishedRecord& aRecord);
std::string
Encode(const jobs::WorkerRecord& aRecord);
std::string
Encode(const OwnerRow& aRow);

// DataLoss when the text is not such a record.
absl::StatusOr<jobs::JobRecord>
DecodeJob(std::string_view aText);
absl::StatusOr<jobs::ProgressRecord>
DecodeProgress(std::string_view aText);
absl::StatusOr<jobs::FinishedRecord>
DecodeFinished(std::string_view aText);
absl::StatusOr<jobs::WorkerRecord>
DecodeWorker(std::string_view aText);
absl::StatusOr<OwnerRow>
DecodeOwner(std::string_view aText);

} // namespace oriolevane::cellnode
