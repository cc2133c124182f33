// Keeps recorded outcomes for a limited time, so that a repeated submission
// gets the same answer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/internal/trail.h"
#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "protocol/types/requeststatus.h"

namespace oriolevane::coordination::internal {

// The data kept of a request after its Finished record is durable.
struct RecordedOutcome
{
  protocol::RequestStatus mStatus;
  std::uint64_t mSpecDigest = 0;
  std::uint64_t mSequence = 0;
  Trail mTrail;
  TimePoint mKeptSince;
};

// Outcomes are ordered by the sequence of their Finished record and are dropped
// oldest first.
class OutcomeStore
{
public:
  // Returns null when no outcome of this id is kept.
  const RecordedOutcome* Find(const RequestId& aId) const;
  void Add(RecordedOutcome aOutcome);
  // Drops every outcome with a sequence up to and including aLastSequence.
  void Forget(std::uint64_t aLastSequence);
  // Returns the highest sequence that may be dropped, or zero for none.
  // Outcomes may be dropped that are older than aKeepSince or exceed aMaxCount
  // outcomes or aMaxBytes bytes.
  std::uint64_t LastForgettableSequence(TimePoint aKeepSince,
                                        std::size_t aMaxCount,
                                        std::size_t aMaxBytes) const;
  // Restarts the retention time of all outcomes; used after recovery, as the
  // journal does not record when they were stored.
  void StartRetention(TimePoint aNow);
  std::size_t Size() const { return mById.size(); }
  // Returns the outcomes in the order of their sequences.
  std::vector<const RecordedOutcome*> Sorted() const;

private:
  std::unordered_map<RequestId, RecordedOutcome> mById;
  std::map<std::uint64_t, RequestId> mBySequence;
  std::size_t mBytes = 0;
};

} // namespace oriolevane::coordination::internal
