// Reads all membership rows.
#pragma once

#include <functional>

#include <absl/status/statusor.h>

#include "membership/types/tableview.h"
#include "store/platformhooks.h"

namespace oriolevane::membership {

// Three scans. Fails when one of them fails; a row that cannot be understood is
// no failure, but listed among the errors: an ownership row as unreadable, a
// node's row as that of a leaving node of no incarnation, whose lease expires
// as any other unless its node rewrites it. aBetween is called between the
// scans, as each may take as long as the store's timeouts allow.
absl::StatusOr<TableView>
ReadMembershipRows(const store::TableHooks& aTable,
                   const std::function<void()>& aBetween);

} // namespace oriolevane::membership
