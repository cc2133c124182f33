#include "journal/groupcommit.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "journal/logcodec.h"
#include "journal/types/logbatch.h"
#include "membership/rowcodec.h"

namespace oriolevane::journal {

namespace {

template<typename Queue>
std::vector<std::uint64_t>
Sequences(const Queue& aQueue, std::size_t aFrom, std::size_t aTo)
{
  std::vector<std::uint64_t> sequences;
  for (std::size_t at = aFrom; at < aTo; ++at) {
    sequences.push_back(aQueue[at].mRecord.mSequence);
  }
  return sequences;
}

void
MoveInto(std::vector<AppendOutcome>& aTo, std::vector<AppendOutcome> aFrom)
{
  std::move(aFrom.begin(), aFrom.end(), std::back_inserter(aTo));
}

} // namespace

GroupCommit::GroupCommit(GroupCommitOptions aOptions)
  : mOptions(aOptions)
{
}

std::vector<AppendOutcome>
GroupCommit::Open(const OpenPartition& aPartition)
{
  std::vector<AppendOutcome> outcomes = Close(aPartition.mPartition);
  mLogs[aPartition.mPartition] = {
    .mStatus = { .mEpoch = aPartition.mEpoch,
                 .mRowVersion = aPartition.mRowVersion,
                 .mOpenedAfter = aPartition.mLastSequence,
                 .mLastCommitted = aPartition.mLastSequence },
    .mLastQueued = aPartition.mLastSequence
  };
  return outcomes;
}

std::vector<AppendOutcome>
GroupCommit::Close(PartitionId aPartition)
{
  const bool surelyNot = !mAttempt || !mAttempt->mMayBeApplied;
  return Depose(aPartition, surelyNot);
}

std::optional<AppendOutcome>
GroupCommit::Append(PartitionId aPartition, LogRecord aRecord, TimePoint aNow)
{
  AppendOutcome refusal{ .mPartition = aPartition,
                         .mResult = AppendResult::Refused,
                         .mSurelyNotWritten = true,
                         .mSequences = { aRecord.mSequence } };
  const auto at = mLogs.find(aPartition);
  if (at == mLogs.end()) {
    return refusal;
  }
  PartitionLog& log = at->second;
  refusal.mEpoch = log.mStatus.mEpoch;
  if (aRecord.mSequence <= log.mLastQueued) {
    refusal.mSurelyNotWritten = false;
    return refusal;
  }
  const std::size_t bytes = EncodedRecordBytes(aRecord);
  if (bytes + kEncodedBatchBytes > mOptions.mMaxRowBytes ||
      log.mQueuedBytes + bytes > mOptions.mMaxQueuedBytes) {
    return refusal;
  }
  log.mLastQueued = aRecord.mSequence;
  log.mQueuedBytes += bytes;
  log.mQueue.push_back({ std::move(aRecord), aNow });
  return std::nullopt;
}

std::vector<AppendOutcome>
GroupCommit::Expire(TimePoint aNow)
{
  std::vector<AppendOutcome> outcomes;
  for (auto& [partition, log] : mLogs) {
    const std::size_t kept = RecordsUnderWay(partition);
    if (log.mQueue.size() <= kept ||
        aNow - log.mQueue[kept].mSince < mOptions.mMaxQueueTime) {
      continue;
    }
    outcomes.push_back(
      { .mPartition = partition,
        .mEpoch = log.mStatus.mEpoch,
        .mResult = AppendResult::Refused,
        .mSurelyNotWritten = true,
        .mSequences = Sequences(log.mQueue, kept, log.mQueue.size()) });
    while (log.mQueue.size() > kept) {
      log.mQueuedBytes -= EncodedRecordBytes(log.mQueue.back().mRecord);
      log.mQueue.pop_back();
    }
  }
  return outcomes;
}

bool
GroupCommit::HasWork() const
{
  return mAttempt || std::any_of(mLogs.begin(), mLogs.end(), [](auto& aEntry) {
           return !aEntry.second.mQueue.empty();
         });
}

store::Transaction
GroupCommit::Prepare()
{
  if (!mAttempt) {
    Attempt attempt = BuildAttempt();
    if (attempt.mParts.empty()) {
      return {};
    }
    mFirst = PartitionId(attempt.mParts.front().mPartition.mValue + 1);
    mAttempt = std::move(attempt);
  }
  store::Transaction transaction;
  for (const Part& part : mAttempt->mParts) {
    transaction.mConditions.push_back(
      { membership::PartitionRowKey(part.mPartition), part.mRowVersion });
    for (const LogRow& row : part.mLog.mRows) {
      transaction.mConditions.push_back({ row.mKey, 0 });
      transaction.mMutations.push_back({ row.mKey, row.mValue });
    }
  }
  return transaction;
}

std::vector<AppendOutcome>
GroupCommit::OnCommitted()
{
  return Settle();
}

void
GroupCommit::OnNotApplied()
{
  if (mAttempt && !mAttempt->mMayBeApplied) {
    mAttempt.reset();
  }
}

void
GroupCommit::OnUncertain()
{
  mAttempt->mMayBeApplied = true;
  mAttempt->mInQuestion = true;
}

void
GroupCommit::OnAborted()
{
  mAttempt->mInQuestion = true;
}

std::vector<std::string>
GroupCommit::RowsInQuestion() const
{
  std::vector<std::string> keys;
  if (!mAttempt || !mAttempt->mInQuestion) {
    return keys;
  }
  for (const Part& part : mAttempt->mParts) {
    keys.push_back(membership::PartitionRowKey(part.mPartition));
  }
  for (const Part& part : mAttempt->mParts) {
    keys.push_back(part.mLog.mRows.front().mKey);
  }
  return keys;
}

std::vector<AppendOutcome>
GroupCommit::OnRowsRead(const std::vector<store::TableRow>& aRows)
{
  std::map<std::string, store::TableRow> rows;
  for (const store::TableRow& row : aRows) {
    rows[row.mKey] = row;
  }
  std::vector<Finding> findings;
  for (const Part& part : mAttempt->mParts) {
    findings.push_back(Judge(part, rows));
    if (findings.back().mApplied) {
      return Settle();
    }
  }
  return SettleUnapplied(findings);
}

void
GroupCommit::SetRowVersion(PartitionId aPartition, std::uint64_t aVersion)
{
  const auto at = mLogs.find(aPartition);
  if (at != mLogs.end()) {
    at->second.mStatus.mRowVersion = aVersion;
  }
}

std::optional<GroupCommit::PartitionStatus>
GroupCommit::Status(PartitionId aPartition) const
{
  const auto at = mLogs.find(aPartition);
  if (at == mLogs.end()) {
    return std::nullopt;
  }
  return at->second.mStatus;
}

GroupCommit::Attempt
GroupCommit::BuildAttempt() const
{
  Attempt attempt;
  PackLimits limits{ .mMaxRowBytes = mOptions.mMaxRowBytes,
                     .mMaxBytes = mOptions.mMaxTransactionBytes };
  const auto add = [&](auto aFrom, auto aTo) {
    for (auto at = aFrom; at != aTo; ++at) {
      const PartitionStatus& status = at->second.mStatus;
      Part part{ .mPartition = at->first,
                 .mEpoch = status.mEpoch,
                 .mRowVersion = status.mRowVersion };
      part.mLog = PackLog(at->first,
                          status.mEpoch,
                          status.mLastCommitted,
                          at->second.mQueue,
                          limits);
      limits.mMaxBytes -= part.mLog.mBytes;
      if (!part.mLog.mRows.empty()) {
        attempt.mParts.push_back(std::move(part));
      }
    }
  };
  const auto first = mLogs.lower_bound(mFirst);
  add(first, mLogs.end());
  add(mLogs.begin(), first);
  return attempt;
}

GroupCommit::PartitionLog*
GroupCommit::LogOf(const Part& aPart)
{
  const auto at = mLogs.find(aPart.mPartition);
  const bool open =
    at != mLogs.end() && at->second.mStatus.mEpoch == aPart.mEpoch;
  return open ? &at->second : nullptr;
}

std::size_t
GroupCommit::RecordsUnderWay(PartitionId aPartition) const
{
  const auto log = mLogs.find(aPartition);
  if (!mAttempt || log == mLogs.end()) {
    return 0;
  }
  for (const Part& part : mAttempt->mParts) {
    if (part.mPartition == aPartition &&
        part.mEpoch == log->second.mStatus.mEpoch) {
      return part.mLog.mRecords;
    }
  }
  return 0;
}

std::vector<AppendOutcome>
GroupCommit::Settle()
{
  std::vector<AppendOutcome> outcomes;
  for (const Part& part : mAttempt->mParts) {
    PartitionLog* const log = LogOf(part);
    if (log == nullptr) {
      continue;
    }
    AppendOutcome& outcome = outcomes.emplace_back(
      AppendOutcome{ .mPartition = part.mPartition, .mEpoch = part.mEpoch });
    outcome.mSequences = Sequences(log->mQueue, 0, part.mLog.mRecords);
    log->mStatus.mLastCommitted = outcome.mSequences.back();
    for (std::size_t at = 0; at < part.mLog.mRecords; ++at) {
      log->mQueuedBytes -= EncodedRecordBytes(log->mQueue.front().mRecord);
      log->mQueue.pop_front();
    }
  }
  mAttempt.reset();
  return outcomes;
}

// No part was found. Once a partition row has changed, the transaction can
// never be applied any more, as one of its conditions fails for good; that it
// was not applied before is shown by the absent log row of a partition which is
// still this node's, as nobody else deletes that.
std::vector<AppendOutcome>
GroupCommit::SettleUnapplied(const std::vector<Finding>& aFindings)
{
  const bool dead =
    std::any_of(aFindings.begin(), aFindings.end(), [](const auto& aFinding) {
      return aFinding.mDeposed || aFinding.mRowChanged;
    });
  const bool proven =
    !mAttempt->mMayBeApplied ||
    std::any_of(aFindings.begin(), aFindings.end(), [](const auto& aFinding) {
      return !aFinding.mDeposed;
    });
  mAttempt->mInQuestion = false;
  std::vector<AppendOutcome> outcomes;
  if (!dead) {
    OnNotApplied();
    return outcomes;
  }
  for (std::size_t at = 0; at < aFindings.size(); ++at) {
    const Part& part = mAttempt->mParts[at];
    PartitionLog* const log = LogOf(part);
    if (log != nullptr && aFindings[at].mDeposed) {
      MoveInto(outcomes, Depose(part.mPartition, proven));
    } else if (log != nullptr) {
      log->mStatus.mRowVersion = aFindings[at].mRowVersion;
    }
  }
  mAttempt.reset();
  return outcomes;
}

// Closes the partition. Records that are under way are reported apart from
// those that never were.
std::vector<AppendOutcome>
GroupCommit::Depose(PartitionId aPartition, bool aSurelyNotWritten)
{
  std::vector<AppendOutcome> outcomes;
  const auto at = mLogs.find(aPartition);
  if (at == mLogs.end()) {
    return outcomes;
  }
  const auto& queue = at->second.mQueue;
  const std::size_t underWay = RecordsUnderWay(aPartition);
  AppendOutcome outcome{ .mPartition = aPartition,
                         .mEpoch = at->second.mStatus.mEpoch,
                         .mResult = AppendResult::Deposed,
                         .mSurelyNotWritten = aSurelyNotWritten,
                         .mSequences = Sequences(queue, 0, underWay) };
  if (!outcome.mSequences.empty()) {
    outcomes.push_back(outcome);
  }
  outcome.mSurelyNotWritten = true;
  outcome.mSequences = Sequences(queue, underWay, queue.size());
  if (!outcome.mSequences.empty()) {
    outcomes.push_back(std::move(outcome));
  }
  mLogs.erase(at);
  return outcomes;
}

GroupCommit::Finding
GroupCommit::Judge(const Part& aPart,
                   const std::map<std::string, store::TableRow>& aRows) const
{
  Finding finding;
  const LogRow& expected = aPart.mLog.mRows.front();
  const auto logRow = aRows.find(expected.mKey);
  const bool exists = logRow != aRows.end() && logRow->second.Exists();
  finding.mApplied = exists && logRow->second.mValue == expected.mValue;
  const auto owner = aRows.find(membership::PartitionRowKey(aPart.mPartition));
  if (owner == aRows.end()) {
    return finding;
  }
  const auto content = membership::ParseOwnershipRow(owner->second.mValue);
  const bool foreign = exists && !finding.mApplied;
  finding.mDeposed = foreign || !owner->second.Exists() || !content.ok() ||
                     content->mEpoch != aPart.mEpoch || content->mOwner.Empty();
  finding.mRowVersion = owner->second.mVersion;
  finding.mRowChanged = finding.mRowVersion != aPart.mRowVersion;
  return finding;
}

} // namespace oriolevane::journal
