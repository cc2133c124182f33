// The placement logic of one worker shard: capacity accounting, task queue,
// placement decisions and worker leases. It is deterministic and uses no
// threads, sockets or clock: the same events, times and seed give the same
// actions.
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

// Decides which worker runs each task of a shard. Not thread-safe: all calls
// must come from the same thread.
class Placer
{
public:
  explicit Placer(const PlacerOptions& aOptions);
  ~Placer();
  Placer(const Placer&) = delete;
  Placer& operator=(const Placer&) = delete;

  // Handles one event and returns the resulting actions in the order in which
  // they must be carried out. aNow must not decrease between calls. A deposed
  // placer returns no actions.
  std::vector<PlacerAction> Handle(const PlacerEvent& aEvent, TimePoint aNow);
  // True when the last call reached its limit of placement decisions and left
  // waiting tasks unexamined; a Tick continues with them.
  bool HasMoreWork() const;
  // Returns the summary of this shard that is sent to the other nodes. Each
  // call returns a higher sequence number.
  protocol::ShardDigest Digest(TimePoint aNow);
  // True once at most a tenth of the workers are still to be fenced, or to have
  // their leases lapse, under this placer's epoch.
  bool IsReady() const;
  // True once a worker has reported a higher epoch, which means that another
  // placer owns the shard.
  bool IsDeposed() const;
  // Returns a hash of the capacity ledger and all attempts. Equal states have
  // equal hashes.
  std::uint64_t StateDigest() const;
  // True when the resources granted on each worker equal the sum over its
  // attempts and do not exceed the worker's capacity. Used by tests.
  bool CheckInvariants() const;
  // Number of attempts in the placer's memory, in any state.
  std::size_t AttemptCount() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace oriolevane::placement
