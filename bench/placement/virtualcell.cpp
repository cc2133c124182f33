#include "virtualcell.h"

#include <utility>

namespace oriolevane::bench {

using placement::PlacerAction;
using placement::PlacerEvent;

namespace {

constexpr std::chrono::milliseconds kTickEvery{ 100 };

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
    mByName.emplace(worker.mWorker, mHosts.size());
    mHosts.push_back({ .mName = worker.mWorker });
  }
  mNextTick = mNow + kTickEvery;
  Give(
    placement::PolicyChanged{ std::make_shared<policy::CellPolicy>(aPolicy) });
  Give(placement::WorkersListed{ aWorkers });
}

double
VirtualCell::Give(const PlacerEvent& aEvent)
{
  const auto begin = std::chrono::steady_clock::now();
  const std::vector<PlacerAction> actions = mPlacer.Handle(aEvent, mNow);
  const auto end = std::chrono::steady_clock::now();
  Carry(actions);
  Drain();
  return std::chrono::duration<double>(end - begin).count();
}

void
VirtualCell::Drain()
{
  while (!mPending.empty()) {
    for (const PlacerEvent& event : std::exchange(mPending, {})) {
      Carry(mPlacer.Handle(event, mNow));
    }
  }
}

void
VirtualCell::Carry(const std::vector<PlacerAction>& aActions)
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
    if (mHooks.mEnded) {
      mHooks.mEnded(*update, mNow);
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
  const std::size_t index = mByName.at(aCommand.mWorker);
  Host& host = mHosts[index];
  host.mApplied = aCommand.mSequence;
  for (const protocol::WorkerOrder& order : aCommand.mOrders) {
    if (const auto* start = std::get_if<protocol::StartOrder>(&order)) {
      Start(index, *start);
    } else if (const auto* stop = std::get_if<protocol::StopOrder>(&order)) {
      Stop(index, stop->mTask);
    } else {
      host.mEnded.erase(std::get<protocol::ForgetOrder>(order).mTask);
    }
  }
  mPending.emplace_back(Report(host));
}

void
VirtualCell::Start(std::size_t aWorker, const protocol::StartOrder& aOrder)
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
  const Course course = mHooks.mCourse(aOrder.mTask, host.mName);
  mEnds.push({ .mAt = mNow + course.mRunTime,
               .mNumber = ++mNumber,
               .mWorker = aWorker,
               .mTask = { .mTask = aOrder.mTask,
                          .mPartition = aOrder.mPartition,
                          .mSucceeded = !course.mFails } });
  if (mHooks.mStarted) {
    mHooks.mStarted(aOrder.mTask, mNow);
  }
}

void
VirtualCell::Stop(std::size_t aWorker, const protocol::TaskKey& aKey)
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
VirtualCell::FinishOne()
{
  const End end = mEnds.top();
  mEnds.pop();
  Host& host = mHosts[end.mWorker];
  const auto found = host.mRunning.find(end.mTask.mTask);
  if (found == host.mRunning.end()) {
    return;
  }
  mUsed[end.mWorker] -= found->second.mResources;
  host.mRunning.erase(found);
  host.mEnded[end.mTask.mTask] = end.mTask;
  mPending.emplace_back(Report(host));
  Drain();
}

void
VirtualCell::AdvanceTo(TimePoint aTime)
{
  while (true) {
    const bool hasEnd = !mEnds.empty() && mEnds.top().mAt <= aTime;
    if (hasEnd && mEnds.top().mAt <= mNextTick) {
      mNow = std::max(mNow, mEnds.top().mAt);
      FinishOne();
    } else if (mNextTick <= aTime) {
      mNow = mNextTick;
      mNextTick += kTickEvery;
      Give(placement::Tick{});
    } else {
      break;
    }
  }
  mNow = aTime;
}

void
VirtualCell::EndNext()
{
  if (!mEnds.empty()) {
    FinishOne();
  }
}

protocol::WorkerReport
VirtualCell::Report(Host& aHost)
{
  protocol::WorkerReport report{
    .mWorker = aHost.mName,
    .mIncarnation = Incarnation{ 1 },
    .mSequence = ++aHost.mReports,
    .mClock = std::chrono::duration_cast<std::chrono::milliseconds>(
      mNow.time_since_epoch()),
    .mShard = mOptions.mShard,
    .mHighestEpoch = mOptions.mEpoch,
    .mCommandSequence = aHost.mApplied
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
