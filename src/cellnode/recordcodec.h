// Encodes and decodes row values: the records of jobs and workers, and the
// owner row. The values are JSON, which the decoders also read when it is
// compressed.
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

// The decoders return DataLoss when the text is not a complete record of the
// type.
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
