// What the system needs of the platform: a transactional table, an object store
// and the list of hosts. Each is a struct of hooks, so that another wire format
// or a fake replaces one without touching its users. The hooks block, may be
// called from any thread, and end within the timeout of their implementation.
//
// Errors of all hooks:
// - kUnavailable: surely without effect (e.g. the connection was refused before
//   anything was sent, or the store said that it is away).
// - kDeadlineExceeded: no usable answer; a write may have been applied, now or
//   later, while its request is under way.
// - kResourceExhausted: too large, without effect.
// - kInvalidArgument: refused as malformed, without effect.
// - kDataLoss: a read gave an answer that cannot be understood.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "protocol/types/workermessages.h"
#include "store/types/tablerow.h"
#include "store/types/transaction.h"

namespace oriolevane::store {

// A worker as the platform lists it.
using HostEntry = protocol::WorkerInfo;

struct TableHooks
{
  // Applies the whole transaction or nothing. Besides the errors above,
  // kAborted: a condition did not hold and nothing was applied by this request.
  std::function<absl::StatusOr<CommitResult>(const Transaction&)> mCommit;
  // Rows whose key starts with the prefix and is greater than aAfterKey, in
  // byte order of their keys, at most aLimit. Empty aAfterKey: from the first.
  std::function<absl::StatusOr<std::vector<TableRow>>(
    const std::string& aPrefix,
    const std::string& aAfterKey,
    std::size_t aLimit)>
    mScan;
  // One row; an absent row is a row of version zero, not an error.
  std::function<absl::StatusOr<TableRow>(const std::string& aKey)> mRead;
};

struct ObjectHooks
{
  // Stores the whole object or nothing; replaces an earlier one of that name.
  std::function<absl::Status(const std::string& aName,
                             const std::string& aBytes)>
    mPut;
  // kNotFound when there is no such object.
  std::function<absl::StatusOr<std::string>(const std::string& aName)> mFetch;
  // Removing an absent object succeeds.
  std::function<absl::Status(const std::string& aName)> mRemove;
};

struct HostListHooks
{
  // Live and leaving workers as the platform knows them, with its lag.
  std::function<absl::StatusOr<std::vector<HostEntry>>()> mList;
};

// Reads all rows below a prefix by scans of aPageSize rows. Fails with
// kResourceExhausted above aMostRows.
absl::StatusOr<std::vector<TableRow>>
ScanAll(const TableHooks& aTable,
        const std::string& aPrefix,
        std::size_t aPageSize,
        std::size_t aMostRows);

} // namespace oriolevane::store
