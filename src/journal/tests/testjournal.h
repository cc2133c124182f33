// A journal loop over a scripted store in virtual time.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "journal/journalloop.h"
#include "journal/recovery.h"
#include "standins/platform/scriptedplatform.h"

namespace oriolevane::journal {

class TestJournal
{
public:
  explicit TestJournal(standins::ScriptedPlatform& aPlatform);

  // Makes the node of this journal the owner in the next epoch, as membership
  // would, recovers, and opens the partition.
  RecoveredPartition Acquire(std::uint32_t aPartition,
                             const std::string& aOwner = "a");
  void Append(std::uint32_t aPartition,
              std::uint64_t aSequence,
              const std::string& aBytes = "record");
  // Steps as often as the loop asks for through this much virtual time.
  void Run(std::chrono::milliseconds aFor);
  RecoveredPartition Recover(std::uint32_t aPartition);

  // Sequences of a partition by result, in the order they were reported.
  std::vector<std::uint64_t> Reported(std::uint32_t aPartition,
                                      AppendResult aResult) const;
  // Of the outcomes that are not commits: whether all are surely not written.
  bool AllFailuresSurelyNotWritten() const;

  standins::ScriptedPlatform& mPlatform;
  std::vector<AppendOutcome> mOutcomes;
  std::vector<StoreHealth> mHealth;
  JournalLoop mLoop;
  TimePoint mNow{ std::chrono::hours(1) };
};

// Writes the partition row for another owner in the next epoch.
membership::OwnershipRow
TakeOver(standins::ScriptedPlatform& aPlatform,
         std::uint32_t aPartition,
         const std::string& aOwner);

} // namespace oriolevane::journal
