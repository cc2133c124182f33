// The recorded outcomes, kept for a while so that late retries get the same
// answer.
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

// What is left of a request when its Finished record is durable.
struct RecordedOutcome
{
  protocol::RequestStatus mStatus;
  std::uint64_t mSpecDigest = 0;
  std::uint64_t mSequence = 0;
  Trail mTrail;
  TimePoint mKeptSince;
};

// Ordered by the sequence of the Finished record; forgotten oldest first.
class OutcomeStore
{
public:
  const RecordedOutcome* Find(const RequestId& aId) const;
  void Add(RecordedOutcome aOutcome);
  // Drops every outcome with a sequence up to aUpTo.
  void Forget(std::uint64_t aUpTo);
  // The highest sequence that may be forgotten, zero for none: older than
  // aKeepSince, or over the bounds of number and bytes.
  std::uint64_t Forgettable(TimePoint aKeepSince,
                            std::size_t aMost,
                            std::size_t aMostBytes) const;
  // Restored outcomes count their retention from here.
  void StartRetention(TimePoint aNow);
  std::size_t Size() const { return mById.size(); }
  std::vector<const RecordedOutcome*> Sorted() const;

private:
  std::unordered_map<RequestId, RecordedOutcome> mById;
  std::map<std::uint64_t, RequestId> mBySequence;
  std::size_t mBytes = 0;
};

} // namespace oriolevane::coordination::internal
