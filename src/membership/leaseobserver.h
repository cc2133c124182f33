// Judges the leases of other nodes by the observer's own clock and reads only.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "membership/types/tableview.h"

namespace oriolevane::membership {

struct LeaseObserverOptions
{
  std::chrono::milliseconds mLeaseTtl{ 10'000 };
};

// When the table was read, by the observer's clock.
struct ReadSpan
{
  TimePoint mStart;
  TimePoint mEnd;
  // A longer gap to the read before does not count towards expiry, so that
  // neither an outage of the store nor a pause of the observer expires anybody.
  std::chrono::milliseconds mMostCountedGap{ 4'000 };
};

// A lease has expired when its row has stayed the same over reads that together
// span the TTL. Deterministic.
class LeaseObserver
{
public:
  explicit LeaseObserver(LeaseObserverOptions aOptions);

  // Takes a read of the table. With aCounts false the time since the read
  // before does not count towards expiry, e.g. because the observer could not
  // write either, hence perhaps no node could.
  void Observe(const TableView& aView, bool aCounts, const ReadSpan& aSpan);

  // Also true for a node without a row.
  bool IsExpired(const NodeId& aNode) const;
  // For how long the row has been seen unchanged, over counted time.
  Duration UnchangedFor(const NodeId& aNode) const;
  // For how long this incarnation has been seen unexpired, over counted time.
  Duration LiveFor(const NodeId& aNode) const;

private:
  struct Observation
  {
    std::uint64_t mVersion = 0;
    Incarnation mIncarnation;
    Duration mUnchangedFor{ 0 };
    Duration mLiveFor{ 0 };
  };

  Duration CountedTime(bool aCounts, const ReadSpan& aSpan) const;

  LeaseObserverOptions mOptions;
  TimePoint mLastEnd{};
  bool mHasRead = false;
  std::map<NodeId, Observation> mNodes;
};

} // namespace oriolevane::membership
