// Entry nodes of a cell in virtual time, each with its membership, journal and
// snapshot loops, over one in-memory store.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "journal/journalloop.h"
#include "journal/snapshotloop.h"
#include "membership/membershiploop.h"
#include "standins/platform/scriptedplatform.h"

namespace oriolevane::bench {

struct CellOptions
{
  std::uint32_t mNodes = 8;
  std::uint32_t mPartitions = 16;
  std::uint32_t mShards = 8;
  // What one call to the store takes.
  std::chrono::milliseconds mStoreLatency{ 5 };
  std::chrono::milliseconds mSnapshotInterval{ 10'000 };
};

// Writes that reached the store.
struct CellWrites
{
  std::uint64_t mJournalTransactions = 0;
  std::uint64_t mLogRows = 0;
  std::uint64_t mLogBytes = 0;
  std::uint64_t mDeletedRows = 0;
  // Renewals, acquisitions, snapshot references.
  std::uint64_t mOtherRows = 0;
};

class Cell
{
public:
  using Committed = std::function<void(PartitionId, std::uint64_t aSequence)>;

  Cell(CellOptions aOptions, Committed aCommitted);

  // Goes on by one millisecond.
  void Step();
  // Sequence of the record, or zero when the partition has no owner now.
  std::uint64_t Append(PartitionId aPartition, std::string aBytes);
  std::size_t OwnedPartitions() const { return mOwners.size(); }
  // The node that owns the partition stops without a word, or as planned.
  void Kill(PartitionId aPartition);
  void Leave(PartitionId aPartition);
  // How long partitions were without an owner since the last call, in order of
  // their acquisition.
  std::vector<Duration> TakeGaps() { return std::exchange(mGaps, {}); }
  // Bytes of one read of the membership rows over HTTP, without headers, and
  // rows read since the start.
  std::size_t ViewBytes() const;
  std::uint64_t RowsRead() const;
  const CellWrites& Writes() const { return mWrites; }
  TimePoint Now() const { return mNow; }
  const CellOptions& Options() const { return mOptions; }

private:
  struct Node
  {
    std::unique_ptr<membership::MembershipLoop> mMembership;
    std::unique_ptr<journal::JournalLoop> mJournal;
    std::unique_ptr<journal::SnapshotLoop> mSnapshots;
    TimePoint mMembershipNext{};
    TimePoint mJournalNext{};
    bool mDead = false;
  };
  struct Owner
  {
    Node* mNode = nullptr;
    Epoch mEpoch;
    std::uint64_t mLastSequence = 0;
    std::uint64_t mLastCommitted = 0;
    std::uint64_t mLastSnapshot = 0;
  };

  void AddNode(std::uint32_t aNumber);
  void MakeMembership(Node& aNode, std::uint32_t aNumber);
  void MakeJournal(Node& aNode);
  void OnAcquired(Node& aNode, const membership::AcquiredRow& aRow);
  void OnHandOver(Node& aNode, const membership::RowRef& aRow);
  void OnOutcome(const journal::AppendOutcome& aOutcome);
  void SaveSnapshots();
  void Count(const store::Transaction& aTransaction);

  CellOptions mOptions;
  Committed mCommitted;
  standins::ScriptedPlatform mPlatform;
  std::vector<std::unique_ptr<Node>> mNodes;
  std::map<PartitionId, Owner> mOwners;
  std::map<PartitionId, TimePoint> mUnownedSince;
  std::vector<Duration> mGaps;
  CellWrites mWrites;
  TimePoint mNow{ std::chrono::hours(1) };
  TimePoint mNextSnapshots{};
};

} // namespace oriolevane::bench
