#include "standins/platform/tablestore.h"

#include <algorithm>
#include <chrono>

namespace oriolevane::standins {

namespace {

constexpr std::chrono::seconds kStatisticsWindow{ 10 };

} // namespace

absl::StatusOr<store::CommitResult>
TableStore::Commit(const store::Transaction& aTransaction, TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  const auto& conditions = aTransaction.mConditions;
  const auto failed =
    std::find_if(conditions.begin(),
                 conditions.end(),
                 [this](const auto& aCondition) { return !Holds(aCondition); });
  if (failed != conditions.end()) {
    ++mStatistics.mRefusedTransactions;
    return absl::AbortedError("condition failed on " + failed->mKey);
  }
  store::CommitResult result;
  ++mLastVersion;
  for (const store::RowMutation& mutation : aTransaction.mMutations) {
    if (mutation.mValue) {
      mRows[mutation.mKey] = { *mutation.mValue, mLastVersion };
      result.mRows.push_back({ mutation.mKey, mLastVersion });
    } else {
      mRows.erase(mutation.mKey);
    }
  }
  ++mStatistics.mTransactions;
  mStatistics.mRowsWritten += aTransaction.mMutations.size();
  mRecentWrites.push_back({ aNow, aTransaction.mMutations.size() });
  ForgetOldWrites(aNow);
  return result;
}

store::TableRow
TableStore::Read(const std::string& aKey)
{
  const std::lock_guard lock(mMutex);
  ++mStatistics.mReads;
  ++mStatistics.mRowsRead;
  const auto at = mRows.find(aKey);
  if (at == mRows.end()) {
    return { .mKey = aKey };
  }
  return { .mKey = aKey,
           .mValue = at->second.mValue,
           .mVersion = at->second.mVersion };
}

std::vector<store::TableRow>
TableStore::Scan(const std::string& aPrefix,
                 const std::string& aAfterKey,
                 std::size_t aLimit)
{
  const std::lock_guard lock(mMutex);
  ++mStatistics.mReads;
  std::vector<store::TableRow> rows;
  auto at = aAfterKey < aPrefix ? mRows.lower_bound(aPrefix)
                                : mRows.upper_bound(aAfterKey);
  while (at != mRows.end() && at->first.starts_with(aPrefix) &&
         rows.size() < aLimit) {
    rows.push_back({ .mKey = at->first,
                     .mValue = at->second.mValue,
                     .mVersion = at->second.mVersion });
    ++at;
  }
  mStatistics.mRowsRead += rows.size();
  return rows;
}

std::vector<store::TableRow>
TableStore::Dump(const std::string& aPrefix) const
{
  const std::lock_guard lock(mMutex);
  std::vector<store::TableRow> rows;
  for (auto at = mRows.lower_bound(aPrefix);
       at != mRows.end() && at->first.starts_with(aPrefix);
       ++at) {
    rows.push_back({ .mKey = at->first,
                     .mValue = at->second.mValue,
                     .mVersion = at->second.mVersion });
  }
  return rows;
}

TableStatistics
TableStore::Statistics(TimePoint aNow) const
{
  const std::lock_guard lock(mMutex);
  TableStatistics statistics = mStatistics;
  double transactions = 0;
  double rows = 0;
  for (const Write& write : mRecentWrites) {
    if (aNow - write.mAt <= kStatisticsWindow) {
      transactions += 1;
      rows += static_cast<double>(write.mRows);
    }
  }
  const auto seconds = static_cast<double>(kStatisticsWindow.count());
  statistics.mTransactionsPerSecond = transactions / seconds;
  statistics.mRowsWrittenPerSecond = rows / seconds;
  return statistics;
}

bool
TableStore::Holds(const store::RowCondition& aCondition) const
{
  const auto at = mRows.find(aCondition.mKey);
  const std::uint64_t version = at == mRows.end() ? 0 : at->second.mVersion;
  return version == aCondition.mVersion;
}

void
TableStore::ForgetOldWrites(TimePoint aNow)
{
  while (!mRecentWrites.empty() &&
         aNow - mRecentWrites.front().mAt > kStatisticsWindow) {
    mRecentWrites.pop_front();
  }
}

} // namespace oriolevane::standins
