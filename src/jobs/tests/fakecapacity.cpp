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
  published.back().mUntil = mNow;
  published.push_back({ .mCapacity = entry.mCapacity });
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
  const auto published = mPublished.find(aWorkerIndex);
  return published != mPublished.end() &&
         std::any_of(published->second.begin(),
                     published->second.end() - 1,
                     [&](const PublishedCapacity& aFormer) {
                       return aFormer.mUntil + mOptions.mCapacityTolerance >=
                                mNow &&
                              used.FitsIn(aFormer.mCapacity);
                     });
}

} // namespace oriolevane::jobs
