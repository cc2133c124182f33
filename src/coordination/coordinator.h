// The life of the requests of one partition: admission, attempts, retries,
// cancellation, outcomes and their journal. Deterministic: events and the time
// in, actions out.
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

// Not thread-safe. Order of use: Restore and Replay what the journal has, then
// BeginServing once, then Handle. The time never goes back.
class Coordinator
{
public:
  explicit Coordinator(CoordinatorOptions aOptions);
  ~Coordinator();
  Coordinator(Coordinator&&) noexcept;
  Coordinator& operator=(Coordinator&&) noexcept;

  // Loads what Snapshot returned. DataLoss for bytes that are not a snapshot.
  absl::Status Restore(std::string_view aSnapshot);
  // Applies the bytes of the next record of the journal, in the order of their
  // sequences. Records that the snapshot covers are skipped. DataLoss for bytes
  // that are not a record or for a gap in the sequences.
  absl::Status Replay(std::string_view aRecord);

  // Asks every shard what it holds of this partition. New requests are refused
  // until all have answered.
  std::vector<CoordinatorAction> BeginServing(TimePoint aNow);
  std::vector<CoordinatorAction> Handle(const CoordinatorEvent& aEvent,
                                        TimePoint aNow);

  // The durable state as of the last committed record.
  std::string Snapshot() const;
  // The sequence of the last record that Snapshot covers.
  std::uint64_t CommittedSequence() const;
  // Hash of Snapshot: equal for a coordinator and for its recovered copy.
  std::uint64_t StateDigest() const;
  // True once every shard has answered.
  bool IsServing() const;
  // True when no request is unfinished but for services, and no record is
  // waiting: a draining node may release the partition.
  bool IsIdle() const;
  std::size_t LiveRequests() const;
  std::size_t PendingRecords() const;

private:
  std::unique_ptr<internal::Engine> mEngine;
};

} // namespace oriolevane::coordination
