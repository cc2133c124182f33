#include "placement/internal/spreadcounts.h"

namespace oriolevane::placement {

namespace {

template<typename Key>
void
ChangeCount(std::map<Key, int>& aCounts, Key aKey, int aChange)
{
  const auto place = aCounts.try_emplace(aKey, 0).first;
  place->second += aChange;
  if (place->second == 0) {
    aCounts.erase(place);
  }
}

template<typename Key>
int
CountOf(const std::map<Key, int>& aCounts, Key aKey)
{
  const auto found = aCounts.find(aKey);
  return found == aCounts.end() ? 0 : found->second;
}

} // namespace

void
SpreadCounts::Change(const RequestId& aRequest,
                     std::uint16_t aZone,
                     std::uint32_t aRack,
                     int aChange)
{
  Counts& counts = mCounts[aRequest];
  ChangeCount(counts.mZones, aZone, aChange);
  ChangeCount(counts.mRacks, aRack, aChange);
  if (counts.mZones.empty()) {
    mCounts.erase(aRequest);
  }
}

int
SpreadCounts::InZone(const RequestId& aRequest, std::uint16_t aZone) const
{
  const auto found = mCounts.find(aRequest);
  return found == mCounts.end() ? 0 : CountOf(found->second.mZones, aZone);
}

int
SpreadCounts::InRack(const RequestId& aRequest, std::uint32_t aRack) const
{
  const auto found = mCounts.find(aRequest);
  return found == mCounts.end() ? 0 : CountOf(found->second.mRacks, aRack);
}

} // namespace oriolevane::placement
