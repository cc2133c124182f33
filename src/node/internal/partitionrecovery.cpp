#include "node/internal/partitionrecovery.h"

#include <utility>

#include "framework/log.h"

namespace oriolevane::node {

namespace {

constexpr std::size_t kMostJobs = 8'192;
constexpr std::chrono::milliseconds kRetryAfter{ 500 };
constexpr std::chrono::milliseconds kIdleWait{ 200 };

} // namespace

PartitionRecovery::PartitionRecovery(
  journal::Journal& aJournal,
  std::function<void(PartitionGained)> aOnRecovered)
  : mJournal(aJournal)
  , mOnRecovered(std::move(aOnRecovered))
  , mJobs(kMostJobs)
{
}

PartitionRecovery::~PartitionRecovery()
{
  Stop();
}

void
PartitionRecovery::Start()
{
  mThread = std::thread([this] { Run(); });
}

void
PartitionRecovery::Stop()
{
  mJobs.Close();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
PartitionRecovery::Recover(PartitionId aPartition, Epoch aEpoch)
{
  mJobs.TryPush({ aPartition, aEpoch });
}

bool
PartitionRecovery::Try(const Job& aJob)
{
  absl::StatusOr<journal::RecoveredPartition> found =
    mJournal.Recover(aJob.mPartition);
  if (!found.ok()) {
    LogWarning("partition_recovery_failed")
      .With("partition", aJob.mPartition)
      .With("error", found.status().ToString());
    return absl::IsDataLoss(found.status());
  }
  if (found->mEpoch != aJob.mEpoch) {
    return true;
  }
  const absl::Status opened =
    mJournal.Open({ .mPartition = aJob.mPartition,
                    .mEpoch = aJob.mEpoch,
                    .mRowVersion = found->mRowVersion,
                    .mLastSequence = found->mLastSequence });
  if (!opened.ok()) {
    return false;
  }
  PartitionGained gained{ .mPartition = aJob.mPartition,
                          .mEpoch = aJob.mEpoch };
  gained.mRecovered.mSnapshot = std::move(found->mSnapshot).value_or("");
  for (journal::LogRecord& record : found->mRecords) {
    gained.mRecovered.mRecords.push_back(std::move(record.mBytes));
  }
  mOnRecovered(std::move(gained));
  return true;
}

void
PartitionRecovery::Run()
{
  while (!mJobs.IsClosed()) {
    const std::optional<Job> job = mJobs.Pop(kIdleWait);
    if (job.has_value() && !Try(*job)) {
      std::this_thread::sleep_for(kRetryAfter);
      mJobs.TryPush(*job);
    }
  }
}

} // namespace oriolevane::node
