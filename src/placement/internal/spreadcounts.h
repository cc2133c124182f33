// Counts the tasks of each request by failure domain.
#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>

#include "framework/types/ids.h"

namespace oriolevane::placement {

// Contains only requests whose workload is spread over zones or racks.
class SpreadCounts
{
public:
  // Adds aChange, 1 or -1, to the request's counts for the zone and the rack.
  void Change(const RequestId& aRequest,
              std::uint16_t aZone,
              std::uint32_t aRack,
              int aChange);
  // Return the number of the request's tasks in the zone or rack.
  int InZone(const RequestId& aRequest, std::uint16_t aZone) const;
  int InRack(const RequestId& aRequest, std::uint32_t aRack) const;

private:
  struct Counts
  {
    std::map<std::uint16_t, int> mZones;
    std::map<std::uint32_t, int> mRacks;
  };

  std::unordered_map<RequestId, Counts> mCounts;
};

} // namespace oriolevane::placement
