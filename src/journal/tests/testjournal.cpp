#include "journal/tests/testjournal.h"

#include <algorithm>

#include <cppunit/TestAssert.h>

#include "membership/rowcodec.h"

namespace oriolevane::journal {

TestJournal::TestJournal(standins::ScriptedPlatform& aPlatform)
  : mPlatform(aPlatform)
  , mLoop({},
          aPlatform.Table(),
          { .mOnOutcome =
              [this](const AppendOutcome& aOutcome) {
                mOutcomes.push_back(aOutcome);
              },
            .mOnStoreHealth =
              [this](StoreHealth aHealth) { mHealth.push_back(aHealth); } })
{
}

RecoveredPartition
TestJournal::Acquire(std::uint32_t aPartition, const std::string& aOwner)
{
  TakeOver(mPlatform, aPartition, aOwner);
  RecoveredPartition recovered = Recover(aPartition);
  mLoop.Open({ .mPartition = PartitionId(aPartition),
               .mEpoch = recovered.mEpoch,
               .mRowVersion = recovered.mRowVersion,
               .mLastSequence = recovered.mLastSequence });
  return recovered;
}

void
TestJournal::Append(std::uint32_t aPartition,
                    std::uint64_t aSequence,
                    const std::string& aBytes)
{
  mLoop.Append(PartitionId(aPartition), { aSequence, aBytes }, mNow);
}

void
TestJournal::Run(std::chrono::milliseconds aFor)
{
  constexpr std::chrono::milliseconds kStep{ 10 };
  for (const TimePoint end = mNow + aFor; mNow < end; mNow += kStep) {
    mLoop.Step(mNow);
  }
}

RecoveredPartition
TestJournal::Recover(std::uint32_t aPartition)
{
  auto recovered = RecoverPartition(
    mPlatform.Table(), mPlatform.Objects(), PartitionId(aPartition));
  CPPUNIT_ASSERT_MESSAGE(recovered.status().ToString(), recovered.ok());
  return *std::move(recovered);
}

std::vector<std::uint64_t>
TestJournal::Reported(std::uint32_t aPartition, AppendResult aResult) const
{
  std::vector<std::uint64_t> sequences;
  for (const AppendOutcome& outcome : mOutcomes) {
    if (outcome.mPartition == PartitionId(aPartition) &&
        outcome.mResult == aResult) {
      sequences.insert(
        sequences.end(), outcome.mSequences.begin(), outcome.mSequences.end());
    }
  }
  return sequences;
}

bool
TestJournal::AllFailuresSurelyNotWritten() const
{
  return std::all_of(
    mOutcomes.begin(), mOutcomes.end(), [](const AppendOutcome& aOutcome) {
      return aOutcome.mResult == AppendResult::Committed ||
             aOutcome.mSurelyNotWritten;
    });
}

membership::OwnershipRow
TakeOver(standins::ScriptedPlatform& aPlatform,
         std::uint32_t aPartition,
         const std::string& aOwner)
{
  const std::string key = membership::PartitionRowKey(PartitionId(aPartition));
  const auto before = aPlatform.Store().Read(key);
  membership::OwnershipRow row{ .mLogFromEpoch = Epoch(1) };
  if (before.Exists()) {
    row = *membership::ParseOwnershipRow(before.mValue);
  }
  row.mEpoch = Epoch(row.mEpoch.mValue + 1);
  row.mOwner = NodeId(aOwner);
  row.mOwnerIncarnation = Incarnation(1);
  aPlatform.Put(key, membership::EncodeOwnershipRow(row));
  return row;
}

} // namespace oriolevane::journal
