#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>

#include "journal/journal.h"
#include "membership/membership.h"
#include "platformstandin/stories.h"
#include "standins/platform/platformserver.h"
#include "store/httpplatform.h"

namespace oriolevane::standins {

using journal::AppendOutcome;
using journal::AppendResult;
using journal::StoreHealth;
using std::chrono::milliseconds;
using testing::Section;

namespace {

const PartitionId kPartition(0);

// A node's membership and journal threads over HTTP, with what their hooks were
// told.
class Node
{
public:
  Node(const std::string& aName, const std::string& aPlatform)
    : mPlatform(*store::ConnectHttpPlatform(
        { .mAddress = aPlatform, .mRequestTimeout = milliseconds(500) }))
    , mJournal(
        {},
        mPlatform.mTable,
        mPlatform.mObjects,
        { .mOnOutcome =
            [this](const auto& aOutcome) { Note([&] { Take(aOutcome); }); },
          .mOnStoreHealth =
            [this](auto aHealth) { Note([&] { mHealth = aHealth; }); } })
    , mMembership(OptionsOf(aName),
                  mPlatform.mTable,
                  { .mOnAcquired = [this](const auto& aRow) {
                    Note([&] { mEpoch = aRow.mEpoch; });
                  } })
  {
    mJournal.Start();
    mMembership.Start();
  }

  // Waits without a limit of its own; the test runner has one.
  template<typename Condition>
  void Await(Condition aCondition)
  {
    std::unique_lock lock(mMutex);
    mChanged.wait(lock, aCondition);
  }
  // Waits for ownership, recovers and opens the partition.
  journal::RecoveredPartition Acquire()
  {
    Await([this] { return mEpoch != Epoch(0); });
    auto recovered = mJournal.Recover(kPartition);
    while (!recovered.ok()) {
      CPPUNIT_ASSERT(!absl::IsDataLoss(recovered.status()));
      recovered = mJournal.Recover(kPartition);
    }
    CPPUNIT_ASSERT(mJournal
                     .Open({ .mPartition = kPartition,
                             .mEpoch = recovered->mEpoch,
                             .mRowVersion = recovered->mRowVersion,
                             .mLastSequence = recovered->mLastSequence })
                     .ok());
    return *recovered;
  }
  void Append(std::uint64_t aFrom, std::uint64_t aTo)
  {
    for (std::uint64_t sequence = aFrom; sequence <= aTo; ++sequence) {
      CPPUNIT_ASSERT(mJournal.Append(kPartition, sequence, "record").ok());
    }
  }
  void AwaitOutcomes(std::size_t aCount)
  {
    Await([&] { return mOutcomes.size() == aCount; });
  }

  store::HttpPlatform mPlatform;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::uint64_t, AppendOutcome> mOutcomes;
  StoreHealth mHealth = StoreHealth::Up;
  Epoch mEpoch;
  journal::Journal mJournal;
  membership::Membership mMembership;

private:
  static membership::MembershipOptions OptionsOf(const std::string& aName)
  {
    return { .mPlanner = { .mNode = NodeId(aName),
                           .mIncarnation = Incarnation(1),
                           .mPartitions = 1,
                           .mShards = 0,
                           .mLeases = { .mLeaseTtl = milliseconds(1'500) } },
             .mRenewInterval = milliseconds(200),
             .mReadInterval = milliseconds(200) };
  }
  template<typename Change>
  void Note(Change aChange)
  {
    {
      const std::lock_guard lock(mMutex);
      aChange();
    }
    mChanged.notify_all();
  }
  void Take(const AppendOutcome& aOutcome)
  {
    for (const std::uint64_t sequence : aOutcome.mSequences) {
      CPPUNIT_ASSERT(mOutcomes.emplace(sequence, aOutcome).second);
    }
  }
};

std::set<std::uint64_t>
Committed(Node& aNode)
{
  const std::lock_guard lock(aNode.mMutex);
  std::set<std::uint64_t> committed;
  for (const auto& [sequence, outcome] : aNode.mOutcomes) {
    if (outcome.mResult == AppendResult::Committed) {
      committed.insert(sequence);
    } else {
      CPPUNIT_ASSERT(outcome.mSurelyNotWritten);
    }
  }
  return committed;
}

std::set<std::uint64_t>
Sequences(const journal::RecoveredPartition& aRecovered)
{
  std::set<std::uint64_t> sequences;
  for (const journal::LogRecord& record : aRecovered.mRecords) {
    sequences.insert(record.mSequence);
  }
  return sequences;
}

} // namespace

void
TakeoverStory(Section& aStory)
{
  aStory.It(
    "what a node was told of its records is what its successor finds", [] {
      auto server = *PlatformServer::Start({ .mSeed = 5 });
      FaultPlan& faults = server->Service().Faults();
      Node first("a", server->Address());
      first.Acquire();
      faults.SetLossProbability(0.3);
      first.Append(1, 200);
      first.AwaitOutcomes(200);
      faults.SetOutage(Outage::Late);
      first.Append(201, 210);
      first.Await([&] { return first.mHealth == StoreHealth::Down; });
      faults.SetOutage(Outage::None);
      first.AwaitOutcomes(210);
      faults.SetLossProbability(0);

      Node second("b", server->Address());
      first.mMembership.Stop();
      CPPUNIT_ASSERT(Sequences(second.Acquire()) == Committed(first));
      CPPUNIT_ASSERT(second.mEpoch > first.mEpoch);

      first.Append(211, 211);
      first.AwaitOutcomes(211);
      CPPUNIT_ASSERT(first.mOutcomes.at(211).mResult == AppendResult::Deposed);
      CPPUNIT_ASSERT(Sequences(*second.mJournal.Recover(kPartition)) ==
                     Committed(first));
    });
}

} // namespace oriolevane::standins
