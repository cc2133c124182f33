// Defines the rows and transactions of the store, and the hooks through which a
// node calls it.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "framework/types/ids.h"
#include "framework/types/timepoint.h"

namespace oriolevane::cellnode {

// The store's version counter, which rises with each transaction. 0 stands for
// a row that does not exist.
using RowVersion = NumberId<struct RowVersionTag, std::uint64_t>;

struct RowKey
{
  std::string mTable;
  // The partition of the table. A transaction is atomic within one part.
  std::string mPart;
  std::string mName;

  auto operator<=>(const RowKey&) const = default;
};

struct Row
{
  RowKey mKey;
  std::string mValue;
  RowVersion mVersion;
  // True when the row was deleted; set only in change feeds.
  bool mRemoved = false;
};

// Holds while the row has exactly this version.
struct RowCondition
{
  RowKey mKey;
  RowVersion mVersion;
};

// The largest value of a row that the store takes.
constexpr std::size_t kMaxStoredRowBytes = 65'536;

struct RowWrite
{
  RowKey mKey;
  std::string mValue;
};

// A transaction that is applied atomically if all its conditions hold, and not
// at all otherwise.
struct RowTransaction
{
  std::vector<RowCondition> mConditions;
  std::vector<RowWrite> mWrites;
  std::vector<RowKey> mRemovals;
};

struct CommitAnswer
{
  bool mApplied = false;
  // The version of the transaction, if it was applied.
  RowVersion mVersion;
  // The current rows that the conditions name, if the transaction was not
  // applied.
  std::vector<Row> mCurrent;
};

struct RowQuery
{
  std::string mTable;
  std::string mPart;
  // The first row name to return, inclusive. Empty reads from the start.
  std::string mFrom;
};

// One page of a read or a change feed.
struct RowPage
{
  std::vector<Row> mRows;
  bool mHasMore = false;
  // The newest version of the store at the time of the read.
  RowVersion mVersion;
};

struct FeedQuery
{
  std::string mTable;
  RowVersion mAfter;
  // How long the store may hold the call until there is a change.
  std::chrono::milliseconds mWait{ 0 };
};

class StoreActivity;

// Calls to the store. Errors are Unavailable when the call was not carried out;
// DeadlineExceeded or Unknown when there was no answer, in which case a commit
// may have been applied or may still be applied later; and OutOfRange when the
// store no longer has the feed's history.
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
  // Notes the store's answers to these calls; null when nobody does.
  std::shared_ptr<StoreActivity> mActivity;
};

} // namespace oriolevane::cellnode
