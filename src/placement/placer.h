// The deciding core of one worker shard: capacity ledger, queue, placement and
// worker leases. Deterministic: no threads, sockets or clock; the same events,
// times and seed give the same actions.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "framework/types/timepoint.h"
#include "placement/types/placeraction.h"
#include "placement/types/placerevent.h"
#include "placement/types/placeroptions.h"
#include "protocol/types/sharddigest.h"

namespace oriolevane::placement {

// Not thread-safe; to be used by one duty.
class Placer
{
public:
  explicit Placer(const PlacerOptions& aOptions);
  ~Placer();
  Placer(const Placer&) = delete;
  Placer& operator=(const Placer&) = delete;

  // Takes one event and returns what is to be done about it, in order. aNow
  // must not go backwards. A deposed placer returns nothing.
  std::vector<PlacerAction> Handle(const PlacerEvent& aEvent, TimePoint aNow);
  // True while waiting work was left over because the limit of decisions for
  // one call was reached; a Tick goes on with it.
  bool HasMoreWork() const;
  // What the other nodes are told of this shard. Each call has a higher
  // sequence.
  protocol::ShardDigest Digest(TimePoint aNow);
  // True once nearly all workers are fenced or their leases have lapsed.
  bool IsReady() const;
  // True once a worker reported a higher epoch: another placer owns the shard.
  bool IsDeposed() const;
  // Hash of the ledger and of all attempts, equal for equal states.
  std::uint64_t StateDigest() const;
  // True when the ledger equals the sum of its attempts and no grant made by
  // this placer is over a worker's capacity. For tests.
  bool CheckInvariants() const;
  std::size_t AttemptCount() const;

private:
  struct Parts;
  std::unique_ptr<Parts> mParts;
};

} // namespace oriolevane::placement
