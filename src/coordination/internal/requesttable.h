// The live requests of a partition by id and by due time.
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

// Pointers to requests stay valid until Remove. Each request stands at most
// once in the due queue, so that memory does not grow with re-scheduling.
class RequestTable
{
public:
  using Map = std::unordered_map<RequestId, std::unique_ptr<LiveRequest>>;

  LiveRequest* Find(const RequestId& aId) const;
  LiveRequest& Add(protocol::RequestSpec aSpec, TimePoint aSubmitted);
  void Remove(const RequestId& aId);
  // Puts the request in the due queue under the earliest of its times.
  void Reschedule(LiveRequest& aRequest);
  // Takes up to aMost requests that are due; they are out of the queue until
  // rescheduled.
  std::vector<LiveRequest*> TakeDue(TimePoint aNow, std::size_t aMost);
  std::size_t Size() const { return mRequests.size(); }
  const Map& Requests() const { return mRequests; }
  // In the order of ids, for canonical encodings.
  std::vector<const LiveRequest*> Sorted() const;

private:
  Map mRequests;
  // By time, then by the order of arrival: addresses differ between runs.
  std::map<std::pair<TimePoint, std::uint64_t>, LiveRequest*> mDue;
  std::uint64_t mAdded = 0;
};

} // namespace oriolevane::coordination::internal
