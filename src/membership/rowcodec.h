// Keys and JSON forms of the membership rows. Parsers check every field and
// answer kDataLoss with the reason for what they cannot understand.
#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "membership/types/noderow.h"
#include "membership/types/ownershiprow.h"
#include "membership/types/rowref.h"

namespace oriolevane::membership {

constexpr std::string_view kNodePrefix = "nodes/";
constexpr std::string_view kPartitionPrefix = "partitions/";
constexpr std::string_view kShardPrefix = "shards/";

std::string
NodeRowKey(const NodeId& aNode);
std::string
OwnershipRowKey(const RowRef& aRow);
std::string
PartitionRowKey(PartitionId aPartition);
// The row that a key names.
absl::StatusOr<RowRef>
ParseOwnershipRowKey(std::string_view aKey);

std::string
EncodeNodeRow(const NodeRow& aRow);
// The node's id comes from the key.
absl::StatusOr<NodeRow>
ParseNodeRow(std::string_view aKey, std::string_view aValue);

std::string
EncodeOwnershipRow(const OwnershipRow& aRow);
absl::StatusOr<OwnershipRow>
ParseOwnershipRow(std::string_view aValue);

} // namespace oriolevane::membership
