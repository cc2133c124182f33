#include "configuration/configurationstore.h"

#include <map>
#include <memory>

#include "configuration/tests/stories.h"

namespace oriolevane::configuration {

using testing::Section;

namespace {

enum class Fault
{
  None,
  Away,
  // Applied, and the answer lost.
  AnswerLost,
  // Not applied, and no answer: it may still be on its way.
  RequestDelayed
};

// A table in memory whose next commits can be made to fail.
struct FakeTable
{
  std::map<std::string, store::TableRow> mRows;
  std::vector<Fault> mFaults;
  std::uint64_t mVersion = 0;
  std::vector<store::Transaction> mDelayed;
  // Runs before a commit takes effect, e.g. another operator's patch.
  std::function<void()> mBeforeCommit;

  store::TableRow Row(const std::string& aKey) const
  {
    const auto found = mRows.find(aKey);
    return found == mRows.end() ? store::TableRow{ .mKey = aKey }
                                : found->second;
  }

  absl::Status Apply(const store::Transaction& aTransaction)
  {
    for (const store::RowCondition& condition : aTransaction.mConditions) {
      if (Row(condition.mKey).mVersion != condition.mVersion) {
        return absl::AbortedError("a condition does not hold");
      }
    }
    for (const store::RowMutation& mutation : aTransaction.mMutations) {
      mRows[mutation.mKey] = { mutation.mKey, *mutation.mValue, ++mVersion };
    }
    return absl::OkStatus();
  }

  absl::StatusOr<store::CommitResult> Commit(
    const store::Transaction& aTransaction)
  {
    if (mBeforeCommit) {
      const std::function<void()> before =
        std::exchange(mBeforeCommit, nullptr);
      before();
    }
    const Fault fault = mFaults.empty() ? Fault::None : mFaults.front();
    if (!mFaults.empty()) {
      mFaults.erase(mFaults.begin());
    }
    if (fault == Fault::Away) {
      return absl::UnavailableError("the store is away");
    }
    if (fault == Fault::RequestDelayed) {
      mDelayed.push_back(aTransaction);
      return absl::DeadlineExceededError("no answer");
    }
    const absl::Status applied = Apply(aTransaction);
    if (fault == Fault::AnswerLost) {
      return absl::DeadlineExceededError("no answer");
    }
    if (!applied.ok()) {
      return applied;
    }
    return store::CommitResult{};
  }
};

struct Fixture
{
  std::shared_ptr<FakeTable> mTable = std::make_shared<FakeTable>();
  ConfigurationStore mStore{ Hooks(mTable) };

  static store::TableHooks Hooks(const std::shared_ptr<FakeTable>& aTable)
  {
    return {
      .mCommit =
        [aTable](const store::Transaction& aTransaction) {
          return aTable->Commit(aTransaction);
        },
      .mScan =
        [aTable](const std::string& aPrefix,
                 const std::string& aAfter,
                 std::size_t aMost) {
          std::vector<store::TableRow> rows;
          for (auto row = aTable->mRows.upper_bound(aAfter);
               row != aTable->mRows.end() && rows.size() < aMost;
               ++row) {
            if (row->first.compare(0, aPrefix.size(), aPrefix) == 0) {
              rows.push_back(row->second);
            }
          }
          return rows;
        },
      .mRead = [aTable](const std::string& aKey) { return aTable->Row(aKey); },
    };
  }

  PatchOutcome Apply(const std::string& aId,
                     std::uint64_t aBase,
                     const std::string& aPatch) const
  {
    return mStore.ApplyPatch({ .mPatchId = aId,
                               .mBase = ConfigurationVersion(aBase),
                               .mAuthor = "op",
                               .mPatch = aPatch });
  }
  std::uint64_t HeadVersion() const
  {
    return mStore.ReadHead()->mVersion.mValue;
  }
};

const std::string kDrainFirst = R"({"drained":{"workers":{"w-1":true}}})";
const std::string kDrainSecond = R"({"drained":{"workers":{"w-2":true}}})";
const std::string kReturnFirst = R"({"drained":{"workers":{"w-1":false}}})";

void
LostAnswers(Section& aSection)
{
  aSection.It("are told as accepted when the patch took effect", [] {
    Fixture fixture;
    fixture.mTable->mFaults = { Fault::AnswerLost };
    const PatchOutcome outcome = fixture.Apply("p1", 0, kDrainFirst);
    CPPUNIT_ASSERT(outcome.mVerdict == PatchVerdict::Accepted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, outcome.mVersion.mValue);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, fixture.HeadVersion());
  });
  aSection.It("never put a patch in history twice, also when the first write "
              "arrives late",
              [] {
                Fixture fixture;
                fixture.mTable->mFaults = { Fault::RequestDelayed };
                CPPUNIT_ASSERT(fixture.Apply("p1", 0, kDrainFirst).mVerdict ==
                               PatchVerdict::Accepted);
                CPPUNIT_ASSERT(absl::IsAborted(
                  fixture.mTable->Apply(fixture.mTable->mDelayed.front())));
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, fixture.HeadVersion());
              });
  aSection.It(
    "are told as not known yet while a write may still take effect", [] {
      Fixture fixture;
      fixture.mTable->mFaults = { Fault::RequestDelayed, Fault::Away };
      CPPUNIT_ASSERT(fixture.Apply("p1", 0, kDrainFirst).mVerdict ==
                     PatchVerdict::NotKnownYet);
      CPPUNIT_ASSERT(
        fixture.mTable->Apply(fixture.mTable->mDelayed.front()).ok());
      CPPUNIT_ASSERT(fixture.mStore.FindPatch("p1")->mVerdict ==
                     PatchVerdict::Accepted);
    });
  aSection.It(
    "are decided once another patch has moved the head past them", [] {
      Fixture fixture;
      fixture.mTable->mFaults = { Fault::RequestDelayed };
      fixture.mTable->mBeforeCommit = [&fixture] {
        CPPUNIT_ASSERT(fixture.Apply("p2", 0, kReturnFirst).mVerdict ==
                       PatchVerdict::Accepted);
        fixture.mTable->mFaults = { Fault::RequestDelayed };
      };
      CPPUNIT_ASSERT(fixture.Apply("p1", 0, kDrainFirst).mVerdict ==
                     PatchVerdict::Conflict);
      CPPUNIT_ASSERT(absl::IsAborted(
        fixture.mTable->Apply(fixture.mTable->mDelayed.front())));
    });
}

void
RacingOperators(Section& aSection)
{
  aSection.It("are both accepted when their patches touch different members",
              [] {
                Fixture fixture;
                CPPUNIT_ASSERT(fixture.Apply("p1", 0, kDrainFirst).mVerdict ==
                               PatchVerdict::Accepted);
                CPPUNIT_ASSERT(fixture.Apply("p2", 0, kDrainSecond).mVerdict ==
                               PatchVerdict::Accepted);
                CPPUNIT_ASSERT(fixture.mStore.ReadHead()->mBody.find("w-1") !=
                               std::string::npos);
              });
  aSection.It("get one acceptance and one conflict on the same member", [] {
    Fixture fixture;
    fixture.mTable->mBeforeCommit = [&fixture] {
      CPPUNIT_ASSERT(fixture.Apply("p2", 0, kReturnFirst).mVerdict ==
                     PatchVerdict::Accepted);
    };
    const PatchOutcome outcome = fixture.Apply("p1", 0, kDrainFirst);
    CPPUNIT_ASSERT(outcome.mVerdict == PatchVerdict::Conflict);
    CPPUNIT_ASSERT(outcome.mDetail.find("drained.workers.w-1") !=
                   std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, fixture.HeadVersion());
  });
  aSection.It("get the same answer again for the same patch id", [] {
    Fixture fixture;
    CPPUNIT_ASSERT(fixture.Apply("p1", 0, kDrainFirst).mVerdict ==
                   PatchVerdict::Accepted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 },
                         fixture.Apply("p1", 0, kDrainFirst).mVersion.mValue);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, fixture.HeadVersion());
  });
}

} // namespace

void
ConfigurationStoreStory(Section& aStory)
{
  aStory.Describe("lost answers of the store", LostAnswers);
  aStory.Describe("racing operators", RacingOperators);
  aStory.Describe("a patch is refused", [](Section& aSection) {
    aSection.It("as not applied while the store is away", [] {
      Fixture fixture;
      fixture.mTable->mFaults = { Fault::Away };
      CPPUNIT_ASSERT(fixture.Apply("p1", 0, kDrainFirst).mVerdict ==
                     PatchVerdict::NotApplied);
    });
    aSection.It(
      "as invalid when the result is no valid configuration or the base is in "
      "the future",
      [] {
        Fixture fixture;
        CPPUNIT_ASSERT(fixture.Apply("p1", 0, R"({"teams":7})").mVerdict ==
                       PatchVerdict::Invalid);
        CPPUNIT_ASSERT(fixture.Apply("p2", 9, kDrainFirst).mVerdict ==
                       PatchVerdict::Invalid);
        CPPUNIT_ASSERT(fixture.Apply("p3", 0, "[").mVerdict ==
                       PatchVerdict::Invalid);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, fixture.HeadVersion());
      });
  });
}

} // namespace oriolevane::configuration
