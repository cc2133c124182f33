#include "placement/tests/fakeworker.h"

#include <utility>
#include <vector>

namespace oriolevane::placement {

using protocol::TaskKey;

FakeWorker::FakeWorker(protocol::WorkerInfo aInfo)
  : mInfo(std::move(aInfo))
{
}

bool
FakeWorker::Accepts(const protocol::WorkerCommand& aCommand) const
{
  if (aCommand.mEpoch < mHighestEpoch) {
    return false;
  }
  if (aCommand.mEpoch == mHighestEpoch &&
      aCommand.mSequence <= mLastCommandSequence) {
    return false;
  }
  return aCommand.mIncarnation == Incarnation{} ||
         aCommand.mIncarnation == mIncarnation;
}

protocol::WorkerReport
FakeWorker::Apply(const protocol::WorkerCommand& aCommand,
                  std::chrono::milliseconds aRunTime,
                  bool aWillFail)
{
  mShard = aCommand.mShard;
  if (!Accepts(aCommand)) {
    protocol::WorkerReport report = Report();
    report.mFenced = aCommand.mEpoch < mHighestEpoch;
    return report;
  }
  mHighestEpoch = aCommand.mEpoch;
  mLastCommandSequence = aCommand.mSequence;
  if (aCommand.mLeaseFor.count() > 0) {
    mLeaseEnd = std::max(mLeaseEnd, aCommand.mLeaseAnchor + aCommand.mLeaseFor);
  }
  for (const protocol::WorkerOrder& order : aCommand.mOrders) {
    if (const auto* start = std::get_if<protocol::StartOrder>(&order)) {
      StartTask(*start, aRunTime, aWillFail);
    } else if (const auto* stop = std::get_if<protocol::StopOrder>(&order)) {
      EndTask(stop->mTask, true);
    } else {
      mEnded.erase(std::get<protocol::ForgetOrder>(order).mTask);
    }
  }
  return Report();
}

void
FakeWorker::StartTask(const protocol::StartOrder& aOrder,
                      std::chrono::milliseconds aRunTime,
                      bool aWillFail)
{
  if (mRunning.contains(aOrder.mTask) || mEnded.contains(aOrder.mTask)) {
    return;
  }
  if (mLeaseEnd <= mClock) {
    mEnded[aOrder.mTask] = { .mTask = aOrder.mTask,
                             .mPartition = aOrder.mPartition,
                             .mStarted = false };
    return;
  }
  mRunning[aOrder.mTask] = { .mOrder = aOrder,
                             .mEndsAt = mClock + aRunTime,
                             .mWillFail = aWillFail };
}

void
FakeWorker::EndTask(const TaskKey& aKey, bool aStopped)
{
  const auto found = mRunning.find(aKey);
  if (found == mRunning.end()) {
    return;
  }
  mEnded[aKey] = { .mTask = aKey,
                   .mPartition = found->second.mOrder.mPartition,
                   .mSucceeded = !aStopped && !found->second.mWillFail,
                   .mStopped = aStopped,
                   .mAnswer = "answer of " + aKey.mRequest.mValue };
  mRunning.erase(found);
}

protocol::WorkerReport
FakeWorker::Report()
{
  protocol::WorkerReport report{ .mWorker = mInfo.mWorker,
                                 .mIncarnation = mIncarnation,
                                 .mSequence = ++mReportSequence,
                                 .mClock = mClock,
                                 .mShard = mShard,
                                 .mHighestEpoch = mHighestEpoch,
                                 .mLeaving = mLeaving,
                                 .mCommandSequence = mLastCommandSequence };
  for (const auto& [key, execution] : mRunning) {
    report.mRunning.push_back({ .mTask = key,
                                .mPartition = execution.mOrder.mPartition,
                                .mResources = execution.mOrder.mResources });
  }
  for (const auto& [key, ended] : mEnded) {
    report.mEnded.push_back(ended);
  }
  return report;
}

void
FakeWorker::Advance(std::chrono::milliseconds aStep)
{
  mClock += aStep;
  std::vector<TaskKey> endedKeys;
  const bool isLeaseExpired = mLeaseEnd <= mClock;
  for (const auto& [key, execution] : mRunning) {
    if (isLeaseExpired || execution.mEndsAt <= mClock) {
      endedKeys.push_back(key);
    }
  }
  for (const TaskKey& key : endedKeys) {
    EndTask(key, mRunning.at(key).mEndsAt > mClock);
  }
}

void
FakeWorker::Restart()
{
  mIncarnation = Incarnation{ mIncarnation.mValue + 1 };
  mHighestEpoch = {};
  mLastCommandSequence = 0;
  mReportSequence = 0;
  mLeaseEnd = {};
  mRunning.clear();
  mEnded.clear();
}

Resources
FakeWorker::UsedResources() const
{
  Resources used;
  for (const auto& [key, execution] : mRunning) {
    used += execution.mOrder.mResources;
  }
  return used;
}

} // namespace oriolevane::placement
