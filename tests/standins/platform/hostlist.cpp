#include "standins/platform/hostlist.h"

#include <algorithm>
#include <utility>

namespace oriolevane::standins {

namespace {

constexpr std::size_t kMostStates = 1000;

} // namespace

HostList::HostList(std::vector<store::HostEntry> aHosts)
{
  mHistory.push_back({ TimePoint::min(), std::move(aHosts) });
}

std::vector<store::HostEntry>
HostList::Visible(TimePoint aNow) const
{
  const std::lock_guard lock(mMutex);
  for (auto state = mHistory.rbegin(); state != mHistory.rend(); ++state) {
    if (state->mSince <= aNow - mLag) {
      return state->mHosts;
    }
  }
  return mHistory.front().mHosts;
}

void
HostList::SetLag(std::chrono::milliseconds aLag)
{
  const std::lock_guard lock(mMutex);
  mLag = aLag;
}

void
HostList::Put(const store::HostEntry& aHost, TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  std::vector<store::HostEntry> hosts = mHistory.back().mHosts;
  std::erase_if(
    hosts, [&](const auto& aEntry) { return aEntry.mWorker == aHost.mWorker; });
  hosts.push_back(aHost);
  Push(std::move(hosts), aNow);
}

void
HostList::Remove(const WorkerId& aWorker, TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  std::vector<store::HostEntry> hosts = mHistory.back().mHosts;
  std::erase_if(hosts,
                [&](const auto& aEntry) { return aEntry.mWorker == aWorker; });
  Push(std::move(hosts), aNow);
}

bool
HostList::MarkLeaving(const WorkerId& aWorker, bool aLeaving, TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  std::vector<store::HostEntry> hosts = mHistory.back().mHosts;
  const auto at =
    std::find_if(hosts.begin(), hosts.end(), [&](const auto& aEntry) {
      return aEntry.mWorker == aWorker;
    });
  if (at == hosts.end()) {
    return false;
  }
  at->mLeaving = aLeaving;
  Push(std::move(hosts), aNow);
  return true;
}

void
HostList::Push(std::vector<store::HostEntry> aHosts, TimePoint aNow)
{
  mHistory.push_back({ aNow, std::move(aHosts) });
  if (mHistory.size() > kMostStates) {
    mHistory.pop_front();
  }
}

} // namespace oriolevane::standins
