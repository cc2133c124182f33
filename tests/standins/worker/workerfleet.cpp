#include "standins/worker/workerfleet.h"

#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace oriolevane::standins {

namespace {

constexpr std::chrono::milliseconds kTick{ 5 };
// Workers' clocks differ by up to this.
constexpr std::uint64_t kClockSpreadMs = 1000UL * 3600 * 24;
constexpr std::uint64_t kDoubledOneIn = 4;

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

nlohmann::json
FaultsToJson(const WorkerFaults& aFaults)
{
  const WorkerBehaviour& behaviour = aFaults.mBehaviour;
  return { { "failEverything", behaviour.mFailEverything },
           { "refuseStarts", behaviour.mRefuseStarts },
           { "leaving", behaviour.mLeaving },
           { "frozen", behaviour.mFrozen },
           { "silent", aFaults.mSilent },
           { "answerDelayMs", aFaults.mAnswerDelay.count() },
           { "reportDelayMs", aFaults.mReportDelay.count() } };
}

} // namespace

WorkerFleet::WorkerFleet(WorkerFleetOptions aOptions)
  : mRandom(aOptions.mSeed)
{
  for (std::size_t i = 0; i < aOptions.mWorkers; ++i) {
    WorkerModelOptions options{
      .mWorker = WorkerId(fmt::format("{}{}", aOptions.mPrefix, i)),
      .mCapacity = aOptions.mCapacity,
      .mIncarnation = FreshIncarnation(),
      .mClockOffset = std::chrono::milliseconds(mRandom() % kClockSpreadMs),
      .mOnEvent = [this](const TaskEvent& aEvent) { mHistory.Add(aEvent); }
    };
    mWorkers.push_back({ .mModel = WorkerModel(std::move(options)) });
  }
  mThread = std::thread([this] { Run(); });
}

WorkerFleet::~WorkerFleet()
{
  Stop();
  mThread.join();
}

void
WorkerFleet::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mChanged.notify_all();
}

Incarnation
WorkerFleet::FreshIncarnation()
{
  // Below 2^53, which every JSON reader holds exactly.
  constexpr unsigned kDroppedBits = 11;
  return Incarnation((mRandom() >> kDroppedBits) | 1U);
}

WorkerFleet::Worker*
WorkerFleet::Find(const WorkerId& aWorker)
{
  for (Worker& worker : mWorkers) {
    if (worker.mModel.Options().mWorker == aWorker) {
      return &worker;
    }
  }
  return nullptr;
}

std::optional<protocol::WorkerReport>
WorkerFleet::Exchange(const WorkerId& aWorker,
                      const workers::ExchangeRequest& aRequest)
{
  std::unique_lock lock(mMutex);
  Worker* worker = Find(aWorker);
  if (worker == nullptr) {
    return std::nullopt;
  }
  const auto isMute = [&] {
    return worker->mFaults.mSilent || worker->mFaults.mBehaviour.mFrozen;
  };
  if (isMute()) {
    mChanged.wait(lock, [&] { return mStopping || !isMute(); });
    return std::nullopt;
  }
  protocol::WorkerReport report =
    worker->mModel.Handle(aRequest.mCommand, Now());
  if (!report.mFenced) {
    worker->mReportTo = aRequest.mReportTo;
  }
  const std::chrono::milliseconds delay = worker->mFaults.mAnswerDelay;
  if (delay.count() > 0) {
    mChanged.wait_for(lock, delay, [this] { return mStopping; });
  }
  return report;
}

bool
WorkerFleet::ForEach(const std::string& aWorker,
                     const std::function<void(Worker&)>& aVisit)
{
  const std::lock_guard lock(mMutex);
  if (aWorker == "*") {
    for (Worker& worker : mWorkers) {
      aVisit(worker);
    }
    return true;
  }
  Worker* worker = Find(WorkerId(aWorker));
  if (worker != nullptr) {
    aVisit(*worker);
  }
  return worker != nullptr;
}

bool
WorkerFleet::ChangeFaults(const std::string& aWorker,
                          const std::function<void(WorkerFaults&)>& aChange)
{
  const bool found = ForEach(aWorker, [&](Worker& aFound) {
    aChange(aFound.mFaults);
    aFound.mModel.SetBehaviour(aFound.mFaults.mBehaviour, Now());
  });
  mChanged.notify_all();
  return found;
}

bool
WorkerFleet::Restart(const std::string& aWorker)
{
  return ForEach(aWorker, [this](Worker& aFound) {
    aFound.mModel.Restart(FreshIncarnation(), Now());
  });
}

void
WorkerFleet::Run()
{
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    const TimePoint now = Now();
    for (Worker& worker : mWorkers) {
      worker.mModel.Advance(now);
      if (worker.mModel.TakeChanged()) {
        PushReport(worker, now);
      }
    }
    mChanged.wait_for(lock, kTick, [this] { return mStopping; });
  }
}

void
WorkerFleet::PushReport(Worker& aWorker, TimePoint aNow)
{
  const WorkerFaults& faults = aWorker.mFaults;
  if (aWorker.mReportTo.empty() || faults.mSilent ||
      faults.mBehaviour.mFrozen) {
    return;
  }
  const absl::StatusOr<std::string> body =
    workers::EncodeWorkerReport(aWorker.mModel.Report(aNow));
  if (!body.ok()) {
    return;
  }
  const auto delay = [&] {
    const auto most = static_cast<std::uint64_t>(faults.mReportDelay.count());
    return std::chrono::milliseconds(mRandom() % (most + 1));
  };
  mPusher.Push(aWorker.mReportTo, *body, aNow + delay());
  if (faults.mReportDelay.count() > 0 && mRandom() % kDoubledOneIn == 0) {
    mPusher.Push(aWorker.mReportTo, *body, aNow + delay());
  }
}

std::string
WorkerFleet::StateJson() const
{
  const std::lock_guard lock(mMutex);
  nlohmann::json workers = nlohmann::json::array();
  for (const Worker& worker : mWorkers) {
    workers.push_back(
      { { "worker", worker.mModel.Options().mWorker.mValue },
        { "incarnation", worker.mModel.Options().mIncarnation.mValue },
        { "running", worker.mModel.RunningCount() },
        { "overcommits", worker.mModel.Overcommits() },
        { "faults", FaultsToJson(worker.mFaults) } });
  }
  return nlohmann::json{ { "workers", std::move(workers) } }.dump();
}

} // namespace oriolevane::standins
