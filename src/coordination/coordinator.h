// Manages the requests of one partition from admission to the recorded outcome:
// attempts, retries, cancellation and journal records. It is deterministic: it
// takes events with the current time and returns actions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>

#include "coordination/types/coordinatoraction.h"
#include "coordination/types/coordinatorevent.h"
#include "coordination/types/coordinatoroptions.h"
#include "framework/types/timepoint.h"

namespace oriolevane::coordination {

namespace internal {
class Engine;
}

// Not thread-safe. First call Restore and Replay with the contents of the
// journal, then BeginServing once, then Handle for each event. The time that is
// passed in must never decrease.
class Coordinator
{
public:
  explicit Coordinator(CoordinatorOptions aOptions);
  ~Coordinator();
  Coordinator(Coordinator&&) noexcept;
  Coordinator& operator=(Coordinator&&) noexcept;

  // Loads the bytes that Snapshot returned. Returns DataLoss for bytes that are
  // not a snapshot.
  absl::Status Restore(std::string_view aSnapshot);
  // Applies the next record of the journal. Records must be passed in the order
  // of their sequences; those that the snapshot covers are skipped. Returns
  // DataLoss for bytes that are not a record and for a gap in the sequences.
  absl::Status Replay(std::string_view aRecord);

  // Asks every shard which tasks of this partition it holds. New requests are
  // refused until all shards have answered.
  std::vector<CoordinatorAction> BeginServing(TimePoint aNow);
  // Applies one event and returns the actions that follow from it.
  std::vector<CoordinatorAction> Handle(const CoordinatorEvent& aEvent,
                                        TimePoint aNow);

  // Encodes the durable state as of the last committed record.
  std::string Snapshot() const;
  // Returns the sequence of the last record that Snapshot covers.
  std::uint64_t CommittedSequence() const;
  // Returns a hash of Snapshot. A coordinator and its recovered copy have the
  // same digest.
  std::uint64_t StateDigest() const;
  // True once every shard has answered the query of BeginServing.
  bool IsServing() const;
  // True when only services are unfinished and no record is pending, so that a
  // draining node may release the partition.
  bool IsIdle() const;
  // Returns the number of requests without a recorded outcome.
  std::size_t LiveRequests() const;
  // Returns the number of records that the journal has not confirmed.
  std::size_t PendingRecords() const;

private:
  std::unique_ptr<internal::Engine> mEngine;
};

} // namespace oriolevane::coordination
