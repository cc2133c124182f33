// Rows of a store with transactions, and how a node reaches it.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "framework/types/ids.h"
#include "framework/types/timepoint.h"

namespace oriolevane::cellnode {

// Rises with each transaction of the store; 0 stands for a row that is not
// there.
using RowVersion = NumberId<struct RowVersionTag, std::uint64_t>;

struct RowKey
{
  std::string mTable;
  // Transactions are atomic within one part.
  std::string mPart;
  std::string mName;

  auto operator<=>(const RowKey&) const = default;
};

struct Row
{
  RowKey mKey;
  std::string mValue;
  RowVersion mVersion;
  // Only in feeds of changes.
  bool mRemoved = false;
};

struct RowCondition
{
  RowKey mKey;
  RowVersion mVersion;
};

struct RowWrite
{
  RowKey mKey;
  std::string mValue;
};

// Applied whole, or not at all when a condition does not hold.
struct RowTransaction
{
  std::vector<RowCondition> mConditions;
  std::vector<RowWrite> mWrites;
  std::vector<RowKey> mRemovals;
};

struct CommitAnswer
{
  bool mApplied = false;
  // Of the transaction when applied.
  RowVersion mVersion;
  // The rows of the conditions as they are, when not applied.
  std::vector<Row> mCurrent;
};

struct RowQuery
{
  std::string mTable;
  std::string mPart;
  // First name that is wanted; empty for the start.
  std::string mFrom;
};

struct RowPage
{
  std::vector<Row> mRows;
  bool mHasMore = false;
  // Newest version of the store at the time of the read.
  RowVersion mVersion;
};

struct FeedQuery
{
  std::string mTable;
  RowVersion mAfter;
  // How long the answer may wait for a change.
  std::chrono::milliseconds mWait{ 0 };
};

// Calls to the store. Errors: Unavailable when nothing was done;
// DeadlineExceeded or Unknown when there was no answer, so that a commit may
// have been applied or may be later; OutOfRange when a feed's history is gone.
struct RowStoreHooks
{
  std::function<void(const RowTransaction&,
                     Duration aTimeout,
                     std::function<void(absl::StatusOr<CommitAnswer>)>)>
    mCommit;
  std::function<void(const RowQuery&,
                     Duration aTimeout,
                     std::function<void(absl::StatusOr<RowPage>)>)>
    mRead;
  std::function<void(const FeedQuery&,
                     Duration aTimeout,
                     std::function<void(absl::StatusOr<RowPage>)>)>
    mFeed;
};

} // namespace oriolevane::cellnode
