#include "workers/workerlink.h"

#include <thread>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "framework/log.h"
#include "workers/internal/deadlineguard.h"
#include "workers/internal/workertable.h"
#include "workers/workerjson.h"

namespace oriolevane::workers {

class WorkerLink::Impl
{
public:
  Impl(WorkerLinkOptions aOptions, WorkerLinkHooks aHooks)
    : mOptions(std::move(aOptions))
    , mHooks(std::move(aHooks))
    , mTable(mOptions.mThreads, mOptions.mMaxWorkers)
  {
    for (std::size_t lane = 0; lane < mOptions.mThreads; ++lane) {
      mThreads.emplace_back([this, lane] { RunLane(lane); });
    }
    for (std::size_t i = 0; i < mOptions.mSuspectThreads; ++i) {
      mThreads.emplace_back([this] { RunLane(mTable.SuspectLane()); });
    }
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  ~Impl()
  {
    mTable.Close();
    mGuard.Expire();
    for (std::thread& thread : mThreads) {
      thread.join();
    }
  }

  WorkerTable& Table() { return mTable; }

private:
  void RunLane(std::size_t aLane)
  {
    while (std::optional<TakenExchange> taken = mTable.Take(aLane)) {
      if (taken->mSession == nullptr) {
        taken->mSession = std::make_unique<ExchangeSession>(taken->mAddress);
      }
      const WorkerId worker = taken->mCommand.mWorker;
      absl::StatusOr<protocol::WorkerReport> report =
        Exchange(std::move(taken->mCommand), *taken->mSession);
      mTable.Finish(worker, std::move(taken->mSession), report.ok());
      Tell(worker, std::move(report));
    }
  }

  absl::StatusOr<protocol::WorkerReport> Exchange(
    protocol::WorkerCommand aCommand,
    ExchangeSession& aSession)
  {
    const WorkerId worker = aCommand.mWorker;
    const absl::StatusOr<std::string> body = EncodeExchangeRequest(
      { .mCommand = std::move(aCommand), .mReportTo = mOptions.mReportTo });
    if (!body.ok()) {
      return body.status();
    }
    const absl::StatusOr<std::string> answer =
      aSession.Exchange(*body, mOptions, mGuard);
    if (!answer.ok()) {
      return answer.status();
    }
    absl::StatusOr<protocol::WorkerReport> report = ParseWorkerReport(*answer);
    if (report.ok() && report->mWorker != worker) {
      return absl::InvalidArgumentError(
        fmt::format("worker: answered as {}", report->mWorker));
    }
    return report;
  }

  void Tell(const WorkerId& aWorker,
            absl::StatusOr<protocol::WorkerReport> aReport)
  {
    if (aReport.ok()) {
      mHooks.mOnReport(*std::move(aReport));
      return;
    }
    LogDebug("worker_exchange_failed")
      .With("worker", aWorker)
      .With("reason", aReport.status().ToString());
    mHooks.mOnUnreachable(aWorker, aReport.status());
  }

  const WorkerLinkOptions mOptions;
  const WorkerLinkHooks mHooks;
  DeadlineGuard mGuard;
  WorkerTable mTable;
  std::vector<std::thread> mThreads;
};

WorkerLink::WorkerLink(WorkerLinkOptions aOptions, WorkerLinkHooks aHooks)
  : mImpl(std::make_unique<Impl>(std::move(aOptions), std::move(aHooks)))
{
}

WorkerLink::~WorkerLink() = default;

bool
WorkerLink::Send(const std::string& aAddress, protocol::WorkerCommand aCommand)
{
  absl::StatusOr<WorkerAddress> address = ParseWorkerAddress(aAddress);
  if (!address.ok()) {
    LogWarning("worker_address_refused")
      .With("worker", aCommand.mWorker)
      .With("reason", address.status().ToString());
    return false;
  }
  return mImpl->Table().Put(*std::move(address), std::move(aCommand));
}

void
WorkerLink::Forget(const WorkerId& aWorker)
{
  mImpl->Table().Forget(aWorker);
}

std::size_t
WorkerLink::WorkerCount() const
{
  return mImpl->Table().Size();
}

} // namespace oriolevane::workers
