// Indexes the live requests of a partition by id and by due time.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "coordination/internal/liverequest.h"
#include "framework/types/ids.h"
#include "framework/types/timepoint.h"

namespace oriolevane::coordination::internal {

// Pointers to requests stay valid until Remove. Each request is in the due
// queue at most once, so that rescheduling does not make the queue grow.
class RequestTable
{
public:
  using Map = std::unordered_map<RequestId, std::unique_ptr<LiveRequest>>;

  // Returns null for an id that is not in the table.
  LiveRequest* Find(const RequestId& aId) const;
  LiveRequest& Add(protocol::RequestSpec aSpec, TimePoint aSubmitted);
  void Remove(const RequestId& aId);
  // Puts the request in the due queue under the earliest of its times.
  void Reschedule(LiveRequest& aRequest);
  // Removes up to aMax due requests from the due queue and returns them. Each
  // stays out of the queue until it is rescheduled.
  std::vector<LiveRequest*> TakeDue(TimePoint aNow, std::size_t aMax);
  std::size_t Size() const { return mRequests.size(); }
  const Map& Requests() const { return mRequests; }
  // Returns the requests in the order of their ids, so that equal tables are
  // encoded alike.
  std::vector<const LiveRequest*> Sorted() const;

private:
  Map mRequests;
  // Ordered by due time, then by arrival. Pointers would not do as the second
  // key, because addresses differ between runs.
  std::map<std::pair<TimePoint, std::uint64_t>, LiveRequest*> mDue;
  std::uint64_t mLastArrivalNumber = 0;
};

} // namespace oriolevane::coordination::internal
