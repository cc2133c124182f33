// Where the tasks of a request are, by failure domain.
#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>

#include "framework/types/ids.h"

namespace oriolevane::placement {

// Kept only for requests whose workload is spread.
class SiblingTable
{
public:
  // Adds aChange, 1 or -1, to the counts of the request.
  void Change(const RequestId& aRequest,
              std::uint16_t aZone,
              std::uint32_t aRack,
              int aChange);
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
