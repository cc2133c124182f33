#include <algorithm>
#include <cstddef>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include "journal/snapshotloop.h"
#include "journal/tests/stories.h"
#include "journal/tests/testjournal.h"

namespace oriolevane::journal {

using standins::CommitFate;
using standins::ScriptedPlatform;
using std::chrono::milliseconds;
using testing::Section;

namespace {

using Names = std::vector<std::string>;

// A record's name is its epoch and sequence, and its bytes are its name. The
// state of a partition is the list of the names of its records; a snapshot is
// that list as text.
std::string
NameOf(Epoch aEpoch, std::uint64_t aSequence)
{
  return std::to_string(aEpoch.mValue) + ":" + std::to_string(aSequence);
}

Names
StateOf(const RecoveredPartition& aRecovered)
{
  Names names;
  if (aRecovered.mSnapshot && !aRecovered.mSnapshot->empty()) {
    names = absl::StrSplit(*aRecovered.mSnapshot, ' ');
  }
  for (const LogRecord& record : aRecovered.mRecords) {
    names.push_back(record.mBytes);
  }
  return names;
}

// What all owners together were told of records, over a schedule.
struct Told
{
  std::set<std::string> mCommitted;
  std::set<std::string> mSurelyNot;
  std::set<std::string> mAppended;
  std::size_t mReports = 0;
};

// One owner of the partition; it goes on as if it were the owner when another
// has taken over.
class Owner
{
public:
  Owner(ScriptedPlatform& aPlatform, Told& aTold, TimePoint aNow)
    : mTold(aTold)
    , mJournal(aPlatform)
    , mSnapshots({ .mDeletedRows = 2 },
                 aPlatform.Table(),
                 aPlatform.Objects(),
                 { .mOnStored = [this](const auto& aId) { Point(aId); },
                   .mOnFailed = [](const auto&) {} })
  {
    mJournal.mNow = aNow;
    const RecoveredPartition recovered = mJournal.Acquire(0);
    mEpoch = recovered.mEpoch;
    mState = StateOf(recovered);
    mLast = recovered.mLastSequence;
    mOpenedAfter = mLast;
  }
  ~Owner()
  {
    mJournal.mLoop.Close(PartitionId(0));
    Take();
  }
  Owner(const Owner&) = delete;
  Owner& operator=(const Owner&) = delete;

  void Append()
  {
    ++mLast;
    mTold.mAppended.insert(NameOf(mEpoch, mLast));
    mJournal.Append(0, mLast, NameOf(mEpoch, mLast));
  }
  // Saves the state as it was before the last aLess commits.
  void Save(std::size_t aLess)
  {
    const std::size_t kept =
      mCommitted.size() - std::min(aLess, mCommitted.size());
    const std::uint64_t sequence =
      kept == 0 ? mOpenedAfter : mCommitted[kept - 1];
    const auto end =
      mState.end() - static_cast<std::ptrdiff_t>(mCommitted.size() - kept);
    mSnapshots.Upload({ .mId = { PartitionId(0), mEpoch, sequence },
                        .mBytes = absl::StrJoin(mState.begin(), end, " ") });
  }
  void Run(milliseconds aFor)
  {
    mSnapshots.Step(mJournal.mNow);
    mJournal.Run(aFor);
    Take();
  }
  TimePoint Now() const { return mJournal.mNow; }

private:
  void Point(const SnapshotId& aId)
  {
    mJournal.mLoop.PointAtSnapshot(aId, [this, aId](const auto& aOutcome) {
      if (aOutcome.mStatus.ok()) {
        mSnapshots.CleanUp(
          aId, aOutcome.mReplaced ? aOutcome.mReplaced->mObject : "");
      } else if (aOutcome.mUnreferenced) {
        mSnapshots.Discard(aId);
      }
    });
  }
  void Take()
  {
    for (const AppendOutcome& outcome : std::exchange(mJournal.mOutcomes, {})) {
      for (const std::uint64_t sequence : outcome.mSequences) {
        TakeOne(outcome, sequence);
      }
    }
  }
  void TakeOne(const AppendOutcome& aOutcome, std::uint64_t aSequence)
  {
    ++mTold.mReports;
    const std::string name = NameOf(aOutcome.mEpoch, aSequence);
    if (aOutcome.mResult == AppendResult::Committed) {
      mTold.mCommitted.insert(name);
      mState.push_back(name);
      mCommitted.push_back(aSequence);
    } else if (aOutcome.mSurelyNotWritten) {
      mTold.mSurelyNot.insert(name);
    }
  }

  Told& mTold;
  TestJournal mJournal;
  SnapshotLoop mSnapshots;
  Epoch mEpoch;
  Names mState;
  std::uint64_t mLast = 0;
  std::uint64_t mOpenedAfter = 0;
  // Sequences committed since.
  std::vector<std::uint64_t> mCommitted;
};

std::vector<CommitFate>
SomeFates(std::mt19937_64& aRandom)
{
  std::vector<CommitFate> fates(aRandom() % 4);
  for (CommitFate& fate : fates) {
    fate = static_cast<CommitFate>(aRandom() % 5);
  }
  return fates;
}

void
CheckTold(const Told& aTold, const Names& aState)
{
  const std::set<std::string> state(aState.begin(), aState.end());
  CPPUNIT_ASSERT_EQUAL(aState.size(), state.size());
  CPPUNIT_ASSERT_EQUAL(aTold.mAppended.size(), aTold.mReports);
  for (const std::string& name : aTold.mCommitted) {
    CPPUNIT_ASSERT_MESSAGE("committed but lost: " + name, state.contains(name));
  }
  for (const std::string& name : aTold.mSurelyNot) {
    CPPUNIT_ASSERT_MESSAGE("refused but written: " + name,
                           !state.contains(name));
  }
}

// Up to three owners, of which the last acquired the row, take random steps.
void
RunSchedule(std::uint64_t aSeed)
{
  constexpr std::size_t kOwners = 3;
  constexpr int kSteps = 120;
  std::mt19937_64 random(aSeed);
  ScriptedPlatform platform;
  Told told;
  TimePoint now{ std::chrono::hours(1) };
  std::vector<std::unique_ptr<Owner>> owners(kOwners);
  for (int step = 0; step < kSteps; ++step) {
    auto& owner = owners[random() % kOwners];
    const std::uint64_t action = random() % 20;
    if (!owner || action == 0) {
      owner.reset();
      owner = std::make_unique<Owner>(platform, told, now);
    } else if (action == 1) {
      platform.Script(SomeFates(random));
    } else if (action == 2) {
      platform.ApplyLate();
    } else if (action < 5) {
      owner->Save(random() % 3);
    } else if (action < 12) {
      for (std::uint64_t count = random() % 4; count > 0; --count) {
        owner->Append();
      }
    }
    owner->Run(milliseconds(random() % 400));
    now = std::max(now, owner->Now());
  }
  platform.Script({});
  platform.ApplyLate();
  owners.clear();
  TestJournal successor(platform);
  CheckTold(told, StateOf(successor.Acquire(0)));
}

} // namespace

void
RandomScheduleStory(Section& aStory)
{
  aStory.It("of racing owners, lost answers and snapshots keep every promise",
            [] {
              for (std::uint64_t seed = 1; seed <= 400; ++seed) {
                try {
                  RunSchedule(seed);
                } catch (const CppUnit::Exception& failure) {
                  CPPUNIT_FAIL("seed " + std::to_string(seed) + ": " +
                               failure.message().details());
                }
              }
            });
}

} // namespace oriolevane::journal
