#include "virtualcell.h"

#include <utility>

namespace oriolevane::bench {

using placement::PlacerAction;
using placement::PlacerEvent;

namespace {

constexpr std::chrono::milliseconds kTickInterval{ 100 };

} // namespace

VirtualCell::VirtualCell(const placement::PlacerOptions& aOptions,
                         const std::vector<protocol::WorkerInfo>& aWorkers,
                         const policy::CellPolicy& aPolicy,
                         CellHooks aHooks)
  : mOptions(aOptions)
  , mHooks(std::move(aHooks))
  , mPlacer(aOptions)
  , mUsed(aWorkers.size())
{
  for (const protocol::WorkerInfo& worker : aWorkers) {
    mHostIndexes.emplace(worker.mWorker, mHosts.size());
    mHosts.push_back({ .mWorkerId = worker.mWorker });
  }
  mNextTick = mNow + kTickInterval;
  HandleEvent(
    placement::PolicyChanged{ std::make_shared<policy::CellPolicy>(aPolicy) });
  HandleEvent(placement::WorkersListed{ aWorkers });
}

double
VirtualCell::HandleEvent(const PlacerEvent& aEvent)
{
  const auto begin = std::chrono::steady_clock::now();
  const std::vector<PlacerAction> actions = mPlacer.Handle(aEvent, mNow);
  const auto end = std::chrono::steady_clock::now();
  ExecuteActions(actions);
  HandlePendingEvents();
  return std::chrono::duration<double>(end - begin).count();
}

void
VirtualCell::HandlePendingEvents()
{
  while (!mPending.empty()) {
    for (const PlacerEvent& event : std::exchange(mPending, {})) {
      ExecuteActions(mPlacer.Handle(event, mNow));
    }
  }
}

void
VirtualCell::ExecuteActions(const std::vector<PlacerAction>& aActions)
{
  for (const PlacerAction& action : aActions) {
    if (const auto* send = std::get_if<placement::SendToWorker>(&action)) {
      Apply(send->mCommand);
      continue;
    }
    const auto* message = std::get_if<placement::SendToCoordinator>(&action);
    if (message == nullptr) {
      continue;
    }
    const auto* update = std::get_if<protocol::TaskUpdate>(&message->mMessage);
    if (update == nullptr || !protocol::IsFinal(update->mState)) {
      continue;
    }
    if (mHooks.mOnEnded) {
      mHooks.mOnEnded(*update, mNow);
    }
    mPending.emplace_back(
      protocol::UpdateAck{ .mRoute = { .mPartition = update->mRoute.mPartition,
                                       .mShard = mOptions.mShard,
                                       .mSenderEpoch = Epoch{ 1 } },
                           .mTask = update->mTask });
  }
}

void
VirtualCell::Apply(const protocol::WorkerCommand& aCommand)
{
  const std::size_t index = mHostIndexes.at(aCommand.mWorker);
  Host& host = mHosts[index];
  host.mLastCommandSequence = aCommand.mSequence;
  for (const protocol::WorkerOrder& order : aCommand.mOrders) {
    if (const auto* start = std::get_if<protocol::StartOrder>(&order)) {
      StartTask(index, *start);
    } else if (const auto* stop = std::get_if<protocol::StopOrder>(&order)) {
      StopTask(index, stop->mTask);
    } else {
      host.mEnded.erase(std::get<protocol::ForgetOrder>(order).mTask);
    }
  }
  mPending.emplace_back(MakeReport(host));
}

void
VirtualCell::StartTask(std::size_t aWorker, const protocol::StartOrder& aOrder)
{
  Host& host = mHosts[aWorker];
  if (host.mRunning.contains(aOrder.mTask) ||
      host.mEnded.contains(aOrder.mTask)) {
    return;
  }
  host.mRunning[aOrder.mTask] = { .mTask = aOrder.mTask,
                                  .mPartition = aOrder.mPartition,
                                  .mResources = aOrder.mResources };
  mUsed[aWorker] += aOrder.mResources;
  const TaskOutcome outcome =
    mHooks.mChooseOutcome(aOrder.mTask, host.mWorkerId);
  mScheduledEnds.push({ .mAt = mNow + outcome.mRunTime,
                        .mNumber = ++mNumber,
                        .mWorker = aWorker,
                        .mEndedTask = { .mTask = aOrder.mTask,
                                        .mPartition = aOrder.mPartition,
                                        .mSucceeded = !outcome.mFails } });
  if (mHooks.mOnStarted) {
    mHooks.mOnStarted(aOrder.mTask, mNow);
  }
}

void
VirtualCell::StopTask(std::size_t aWorker, const protocol::TaskKey& aKey)
{
  Host& host = mHosts[aWorker];
  const auto found = host.mRunning.find(aKey);
  if (found == host.mRunning.end()) {
    return;
  }
  mUsed[aWorker] -= found->second.mResources;
  host.mEnded[aKey] = { .mTask = aKey,
                        .mPartition = found->second.mPartition,
                        .mStopped = true };
  host.mRunning.erase(found);
}

void
VirtualCell::HandleEarliestEnd()
{
  const ScheduledEnd end = mScheduledEnds.top();
  mScheduledEnds.pop();
  Host& host = mHosts[end.mWorker];
  const auto found = host.mRunning.find(end.mEndedTask.mTask);
  if (found == host.mRunning.end()) {
    return;
  }
  mUsed[end.mWorker] -= found->second.mResources;
  host.mRunning.erase(found);
  host.mEnded[end.mEndedTask.mTask] = end.mEndedTask;
  mPending.emplace_back(MakeReport(host));
  HandlePendingEvents();
}

void
VirtualCell::AdvanceTo(TimePoint aTime)
{
  while (true) {
    const bool hasEnd =
      !mScheduledEnds.empty() && mScheduledEnds.top().mAt <= aTime;
    if (hasEnd && mScheduledEnds.top().mAt <= mNextTick) {
      mNow = std::max(mNow, mScheduledEnds.top().mAt);
      HandleEarliestEnd();
    } else if (mNextTick <= aTime) {
      mNow = mNextTick;
      mNextTick += kTickInterval;
      HandleEvent(placement::Tick{});
    } else {
      break;
    }
  }
  mNow = aTime;
}

void
VirtualCell::FinishNextTask()
{
  if (!mScheduledEnds.empty()) {
    HandleEarliestEnd();
  }
}

protocol::WorkerReport
VirtualCell::MakeReport(Host& aHost)
{
  protocol::WorkerReport report{
    .mWorker = aHost.mWorkerId,
    .mIncarnation = Incarnation{ 1 },
    .mSequence = ++aHost.mReportSequence,
    .mClock = std::chrono::duration_cast<std::chrono::milliseconds>(
      mNow.time_since_epoch()),
    .mShard = mOptions.mShard,
    .mHighestEpoch = mOptions.mEpoch,
    .mCommandSequence = aHost.mLastCommandSequence
  };
  for (const auto& [key, task] : aHost.mRunning) {
    report.mRunning.push_back(task);
  }
  for (const auto& [key, task] : aHost.mEnded) {
    report.mEnded.push_back(task);
  }
  return report;
}

} // namespace oriolevane::bench
