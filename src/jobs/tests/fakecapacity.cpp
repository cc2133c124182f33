#include <algorithm>

#include "jobs/tests/fakecell.h"

namespace oriolevane::jobs {

namespace {

using namespace std::chrono_literals;

// Time from a change of a worker's capacity to that of its registry entry.
constexpr Millis kRegistryDelay = 300ms;

} // namespace

void
FakeCell::SetWorkerCapacity(std::size_t aWorkerIndex,
                            const Resources& aCapacity)
{
  mWorkers[aWorkerIndex]->SetCapacity(aCapacity);
  ScheduleAfter(kRegistryDelay, [this, aWorkerIndex] {
    if (mWorkers[aWorkerIndex]->IsUp()) {
      PublishEntry(aWorkerIndex);
    }
  });
}

void
FakeCell::PublishEntry(std::size_t aWorkerIndex)
{
  const WorkerEntry& entry = mWorkers[aWorkerIndex]->Entry();
  std::vector<PublishedCapacity>& published = mPublished[aWorkerIndex];
  if (published.empty()) {
    published.push_back({ .mCapacity = mOptions.mCapacity });
  }
  published.push_back({ .mCapacity = entry.mCapacity, .mSince = mNow });
  mScheduler->RegisterWorker(entry, NowMoment());
}

WorkerEntry
FakeCell::PublishedEntry(std::size_t aWorkerIndex) const
{
  WorkerEntry entry = mWorkers[aWorkerIndex]->Entry();
  const auto published = mPublished.find(aWorkerIndex);
  entry.mCapacity = published == mPublished.end()
                      ? mOptions.mCapacity
                      : published->second.back().mCapacity;
  return entry;
}

bool
FakeCell::IsWithinCapacity(std::size_t aWorkerIndex) const
{
  const FakeWorker& worker = *mWorkers[aWorkerIndex];
  const Resources used = worker.Used();
  if (used.FitsIn(worker.Entry().mCapacity) ||
      used.FitsIn(PublishedEntry(aWorkerIndex).mCapacity)) {
    return true;
  }
  const auto found = mPublished.find(aWorkerIndex);
  if (found == mPublished.end()) {
    return false;
  }
  const Millis seenUntil = mOrderInDelivery.mSender->mReplacedAt.value_or(mNow);
  const Millis seenFrom = std::min(mOrderInDelivery.mSentAt, seenUntil);
  const std::vector<PublishedCapacity>& published = found->second;
  for (std::size_t index = 0; index < published.size(); ++index) {
    const bool replacedBefore =
      index + 1 < published.size() && published[index + 1].mSince < seenFrom;
    if (!replacedBefore && published[index].mSince <= seenUntil &&
        used.FitsIn(published[index].mCapacity)) {
      return true;
    }
  }
  return false;
}

} // namespace oriolevane::jobs
