#include "standins/worker/workermodel.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "standins/worker/taskscript.h"
#include "workers/types/workerjsonlimits.h"

namespace oriolevane::standins {

using protocol::EndedTask;
using protocol::ForgetOrder;
using protocol::RunningTask;
using protocol::StartOrder;
using protocol::StopOrder;
using protocol::TaskKey;
using protocol::WorkerCommand;
using protocol::WorkerReport;

namespace {

constexpr std::chrono::milliseconds kFailureRunTime{ 5 };

} // namespace

std::string_view
TaskEventName(TaskEventKind aKind)
{
  switch (aKind) {
    case TaskEventKind::Started:
      return "started";
    case TaskEventKind::Refused:
      return "refused";
    case TaskEventKind::Succeeded:
      return "succeeded";
    case TaskEventKind::Failed:
      return "failed";
    case TaskEventKind::Stopped:
      return "stopped";
    case TaskEventKind::LeaseLapsed:
      return "leaseLapsed";
    case TaskEventKind::Lost:
      return "lost";
  }
  return "unknown";
}

WorkerModel::WorkerModel(WorkerModelOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

std::chrono::milliseconds
WorkerModel::Clock(TimePoint aNow) const
{
  return mOptions.mClockOffset +
         std::chrono::floor<std::chrono::milliseconds>(aNow.time_since_epoch());
}

bool
WorkerModel::Accepts(const WorkerCommand& aCommand,
                     TimePoint aNow,
                     bool& aFenced) const
{
  const bool forOther = aCommand.mIncarnation.mValue != 0 &&
                        aCommand.mIncarnation != mOptions.mIncarnation;
  if (forOther || aCommand.mLeaseAnchor > Clock(aNow)) {
    return false;
  }
  const auto shard = mShards.find(aCommand.mShard);
  if (shard == mShards.end()) {
    return true;
  }
  const Epoch highest = shard->second.mHighestEpoch;
  aFenced = aCommand.mEpoch < highest;
  return aCommand.mEpoch > highest ||
         (aCommand.mEpoch == highest &&
          aCommand.mSequence > shard->second.mSequence);
}

WorkerReport
WorkerModel::Handle(const WorkerCommand& aCommand, TimePoint aNow)
{
  Advance(aNow);
  bool fenced = false;
  if (Accepts(aCommand, aNow, fenced)) {
    Shard& shard = mShards[aCommand.mShard];
    shard.mHighestEpoch = aCommand.mEpoch;
    shard.mSequence = aCommand.mSequence;
    const TimePoint leaseEnd =
      aNow + (aCommand.mLeaseAnchor + aCommand.mLeaseFor - Clock(aNow));
    shard.mLeaseEnd = std::max(shard.mLeaseEnd, leaseEnd);
    mLastShard = aCommand.mShard;
    for (const protocol::WorkerOrder& order : aCommand.mOrders) {
      std::visit([&](const auto& aOrder) { Apply(aOrder, aNow); }, order);
    }
  }
  const ShardId lastShard = std::exchange(mLastShard, aCommand.mShard);
  WorkerReport report = Report(aNow);
  mLastShard = lastShard;
  report.mFenced = fenced;
  return report;
}

void
WorkerModel::Apply(const StartOrder& aOrder, TimePoint aNow)
{
  const bool known =
    mRunning.contains(aOrder.mTask) || mEnded.contains(aOrder.mTask);
  if (known || mRunning.size() + mEnded.size() >= workers::kMaxTasks) {
    return;
  }
  const bool lapsed = mShards[mLastShard].mLeaseEnd <= aNow;
  if (lapsed || mBehaviour.mRefuseStarts) {
    Refuse(aOrder, aNow);
    return;
  }
  Resources used = aOrder.mResources;
  for (const auto& [key, task] : mRunning) {
    used += task.mOrder.mResources;
  }
  const bool overcommit = !used.FitsIn(mOptions.mCapacity);
  mOvercommits += overcommit ? 1 : 0;
  mRunning.emplace(aOrder.mTask, MakeTask(aOrder, aNow));
  Emit(TaskEventKind::Started, aOrder, mLastShard, aNow, overcommit);
}

WorkerModel::Task
WorkerModel::MakeTask(const StartOrder& aOrder, TimePoint aNow) const
{
  TaskScript script = ParseTaskScript(aOrder.mPayload);
  Task task{ .mOrder = aOrder,
             .mShard = mLastShard,
             .mRunEnd = aNow + script.mRunTime,
             .mFails = script.mFail,
             .mAnswer = std::move(script.mAnswer) };
  if (aOrder.mService && !script.mRunTimeGiven) {
    task.mRunEnd.reset();
  }
  if (script.mAnswerBytes.has_value()) {
    task.mAnswer = MakeAnswer(aOrder.mTask, *script.mAnswerBytes);
  }
  if (task.mAnswer.size() > workers::kMaxAnswerBytes) {
    task.mFails = true;
    task.mAnswer = "answer too long";
  }
  if (mBehaviour.mFailEverything) {
    task.mRunEnd = aNow + kFailureRunTime;
    task.mFails = true;
    task.mAnswer = "the worker fails everything";
  }
  return task;
}

void
WorkerModel::Apply(const StopOrder& aOrder, TimePoint aNow)
{
  const auto found = mRunning.find(aOrder.mTask);
  if (found != mRunning.end()) {
    End(found, TaskEventKind::Stopped, aNow);
  }
}

void
WorkerModel::Apply(const ForgetOrder& aOrder, TimePoint)
{
  mEnded.erase(aOrder.mTask);
  mEndedResources.erase(aOrder.mTask);
}

void
WorkerModel::Refuse(const StartOrder& aOrder, TimePoint aNow)
{
  mEnded[aOrder.mTask] = EndedTask{ .mTask = aOrder.mTask,
                                    .mPartition = aOrder.mPartition,
                                    .mStarted = false };
  mChanged = true;
  Emit(TaskEventKind::Refused, aOrder, mLastShard, aNow);
}

void
WorkerModel::End(RunningTasks::iterator aTask,
                 TaskEventKind aKind,
                 TimePoint aTime)
{
  Task& task = aTask->second;
  const TaskKey key = aTask->first;
  const bool ran =
    aKind == TaskEventKind::Succeeded || aKind == TaskEventKind::Failed;
  mEnded[key] =
    EndedTask{ .mTask = key,
               .mPartition = task.mOrder.mPartition,
               .mStarted = true,
               .mSucceeded = aKind == TaskEventKind::Succeeded,
               .mStopped = !ran,
               .mAnswer = ran ? std::move(task.mAnswer) : std::string() };
  mEndedResources[key] = task.mOrder.mResources;
  mChanged = true;
  Emit(aKind, task.mOrder, task.mShard, aTime);
  mRunning.erase(aTask);
}

std::optional<TimePoint>
WorkerModel::EndOf(const Task& aTask) const
{
  const TimePoint leaseEnd = mShards.at(aTask.mShard).mLeaseEnd;
  if (mBehaviour.mFrozen || !aTask.mRunEnd.has_value()) {
    return leaseEnd;
  }
  return std::min(leaseEnd, *aTask.mRunEnd);
}

std::optional<TimePoint>
WorkerModel::NextEvent() const
{
  std::optional<TimePoint> next;
  for (const auto& [key, task] : mRunning) {
    const std::optional<TimePoint> end = EndOf(task);
    next = next.has_value() ? std::min(*next, *end) : *end;
  }
  return next;
}

void
WorkerModel::Advance(TimePoint aNow)
{
  while (true) {
    auto first = mRunning.end();
    for (auto task = mRunning.begin(); task != mRunning.end(); ++task) {
      if (first == mRunning.end() ||
          *EndOf(task->second) < *EndOf(first->second)) {
        first = task;
      }
    }
    if (first == mRunning.end() || *EndOf(first->second) > aNow) {
      return;
    }
    const Task& task = first->second;
    const TimePoint end = *EndOf(task);
    const bool ranToEnd =
      !mBehaviour.mFrozen && task.mRunEnd.has_value() && *task.mRunEnd == end;
    const TaskEventKind ownEnd =
      task.mFails ? TaskEventKind::Failed : TaskEventKind::Succeeded;
    End(first, ranToEnd ? ownEnd : TaskEventKind::LeaseLapsed, end);
  }
}

void
WorkerModel::SetBehaviour(WorkerBehaviour aBehaviour, TimePoint aNow)
{
  Advance(aNow);
  if (mBehaviour.mFrozen && !aBehaviour.mFrozen) {
    for (auto& [key, task] : mRunning) {
      if (task.mRunEnd.has_value()) {
        task.mRunEnd = std::max(*task.mRunEnd, aNow);
      }
    }
  }
  mBehaviour = aBehaviour;
}

void
WorkerModel::Restart(Incarnation aIncarnation, TimePoint aNow)
{
  Advance(aNow);
  for (const auto& [key, task] : mRunning) {
    Emit(TaskEventKind::Lost, task.mOrder, task.mShard, aNow);
  }
  mRunning.clear();
  mEnded.clear();
  mEndedResources.clear();
  mShards.clear();
  mReportSequence = 0;
  mOptions.mIncarnation = aIncarnation;
}

bool
WorkerModel::TakeChanged()
{
  return std::exchange(mChanged, false);
}

WorkerReport
WorkerModel::Report(TimePoint aNow)
{
  Advance(aNow);
  WorkerReport report{ .mWorker = mOptions.mWorker,
                       .mIncarnation = mOptions.mIncarnation,
                       .mSequence = ++mReportSequence,
                       .mClock = Clock(aNow),
                       .mShard = mLastShard,
                       .mLeaving = mBehaviour.mLeaving };
  const auto shard = mShards.find(mLastShard);
  if (shard != mShards.end()) {
    report.mHighestEpoch = shard->second.mHighestEpoch;
    report.mCommandSequence = shard->second.mSequence;
  }
  ListTasks(report);
  return report;
}

void
WorkerModel::ListTasks(WorkerReport& aReport) const
{
  for (const auto& [key, task] : mRunning) {
    aReport.mRunning.push_back({ .mTask = key,
                                 .mPartition = task.mOrder.mPartition,
                                 .mResources = task.mOrder.mResources });
  }
  std::size_t answerBytes = 0;
  for (const auto& [key, ended] : mEnded) {
    answerBytes += ended.mAnswer.size();
    if (answerBytes > workers::kMaxReportAnswerBytes) {
      answerBytes -= ended.mAnswer.size();
      aReport.mRunning.push_back({ .mTask = key,
                                   .mPartition = ended.mPartition,
                                   .mResources = mEndedResources.at(key) });
      continue;
    }
    aReport.mEnded.push_back(ended);
  }
}

void
WorkerModel::Emit(TaskEventKind aKind,
                  const StartOrder& aOrder,
                  ShardId aShard,
                  TimePoint aTime,
                  bool aOvercommit)
{
  mOptions.mOnEvent({ .mKind = aKind,
                      .mTask = aOrder.mTask,
                      .mWorker = mOptions.mWorker,
                      .mIncarnation = mOptions.mIncarnation,
                      .mShard = aShard,
                      .mEpoch = mShards.at(aShard).mHighestEpoch,
                      .mTime = aTime,
                      .mNeverRepeat = aOrder.mNeverRepeat,
                      .mOvercommit = aOvercommit,
                      .mLeaving = mBehaviour.mLeaving });
}

} // namespace oriolevane::standins
