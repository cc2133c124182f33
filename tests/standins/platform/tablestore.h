// An in-memory transactional table, the stand-in for the platform's.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "framework/types/timepoint.h"
#include "store/types/tablerow.h"
#include "store/types/transaction.h"

namespace oriolevane::standins {

// Counts since the start, and writes within the last window.
struct TableStatistics
{
  std::uint64_t mReads = 0;
  std::uint64_t mRowsRead = 0;
  std::uint64_t mTransactions = 0;
  std::uint64_t mRefusedTransactions = 0;
  // Rows put or deleted.
  std::uint64_t mRowsWritten = 0;
  double mTransactionsPerSecond = 0;
  double mRowsWrittenPerSecond = 0;
};

// Thread-safe. Versions come from one counter, so that none is ever reused.
class TableStore
{
public:
  // kAborted when a condition does not hold.
  absl::StatusOr<store::CommitResult> Commit(
    const store::Transaction& aTransaction,
    TimePoint aNow);
  store::TableRow Read(const std::string& aKey);
  std::vector<store::TableRow> Scan(const std::string& aPrefix,
                                    const std::string& aAfterKey,
                                    std::size_t aLimit);
  // As Scan without a limit, not counted as a read.
  std::vector<store::TableRow> Dump(const std::string& aPrefix) const;
  TableStatistics Statistics(TimePoint aNow) const;

private:
  struct Write
  {
    TimePoint mAt;
    std::size_t mRows = 0;
  };
  struct Cell
  {
    std::string mValue;
    std::uint64_t mVersion = 0;
  };

  bool Holds(const store::RowCondition& aCondition) const;
  void ForgetOldWrites(TimePoint aNow);

  mutable std::mutex mMutex;
  std::map<std::string, Cell> mRows;
  std::uint64_t mLastVersion = 0;
  TableStatistics mStatistics;
  std::deque<Write> mRecentWrites;
};

} // namespace oriolevane::standins
