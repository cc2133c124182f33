// Worker commands and reports as JSON. Identifiers are JSON strings, payloads
// and answers are base64 and so may hold any bytes. Parsing checks every field;
// an InvalidArgument error names the path of the first bad one.
#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "protocol/types/workermessages.h"

namespace oriolevane::workers {

// A command as it arrives at a worker.
struct ExchangeRequest
{
  protocol::WorkerCommand mCommand;
  // URL that the worker posts a report to when a task ends; empty for none.
  std::string mReportTo;
};

absl::StatusOr<std::string>
EncodeExchangeRequest(const ExchangeRequest& aRequest);

absl::StatusOr<ExchangeRequest>
ParseExchangeRequest(std::string_view aText);

absl::StatusOr<std::string>
EncodeWorkerReport(const protocol::WorkerReport& aReport);

// A report that lists one attempt twice is refused.
absl::StatusOr<protocol::WorkerReport>
ParseWorkerReport(std::string_view aText);

} // namespace oriolevane::workers
