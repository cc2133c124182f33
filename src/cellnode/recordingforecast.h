// Predicts how long it takes until a change is stored, from the transactions
// that come before it. Deterministic.
//
// It answers bursts of submissions while the store is slow: those that cannot
// be stored in time are refused at once instead of at the callers' deadlines.
#pragma once

#include <cstddef>

#include "framework/types/timepoint.h"

namespace oriolevane::cellnode {

// The state of a journal that writes one transaction at a time.
struct RecordingState
{
  // How long the current transaction has been without an answer; zero when
  // there is none.
  Duration mOutstanding{};
  // The expected time between sending a transaction and its answer.
  Duration mCommitTime{};
  // The number of records that wait to be written.
  std::size_t mWaitingRecords = 0;
  // The largest number of records in one transaction.
  std::size_t mMaxRecords = 1;
};

// The expected time until the current transaction is answered.
Duration
RemainingCommitTime(const RecordingState& aState);

// The expected time until a record that is queued now is stored.
Duration
ExpectedRecordingTime(const RecordingState& aState);

} // namespace oriolevane::cellnode
