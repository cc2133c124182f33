// JSON forms of transactions, rows and hosts, as the HTTP adapter sends them.
// Row values are base64, since they may hold any bytes. Decoders check every
// field and never throw.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "store/platformhooks.h"

namespace oriolevane::store {

// kInvalidArgument when a key is not UTF-8.
absl::StatusOr<std::string>
EncodeTransaction(const Transaction& aTransaction);
absl::StatusOr<Transaction>
DecodeTransaction(std::string_view aJson);

std::string
EncodeCommitResult(const CommitResult& aResult);
absl::StatusOr<CommitResult>
DecodeCommitResult(std::string_view aJson);

std::string
EncodeRows(const std::vector<TableRow>& aRows);
absl::StatusOr<std::vector<TableRow>>
DecodeRows(std::string_view aJson);

// A list of workers: objects with worker, zone, rack, address, capacity
// {millicores, memory_mib, accelerators, slots} and leaving. Comments are
// allowed, so that the same form serves as a file.
std::string
EncodeHosts(const std::vector<HostEntry>& aHosts);
absl::StatusOr<std::vector<HostEntry>>
DecodeHosts(std::string_view aJson);

} // namespace oriolevane::store
