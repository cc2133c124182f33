#include "standins/platform/scriptedplatform.h"

#include <utility>

namespace oriolevane::standins {

namespace {

absl::Status
Away()
{
  return absl::UnavailableError("the store is away");
}

absl::Status
NoAnswer()
{
  return absl::DeadlineExceededError("no answer");
}

} // namespace

store::TableHooks
ScriptedPlatform::Table()
{
  return {
    .mCommit =
      [this](const store::Transaction& aTransaction) {
        return Commit(aTransaction);
      },
    .mScan = [this](const std::string& aPrefix,
                    const std::string& aAfterKey,
                    std::size_t aLimit)
      -> absl::StatusOr<std::vector<store::TableRow>> {
      if (mAway) {
        return Away();
      }
      return mTable.Scan(aPrefix, aAfterKey, aLimit);
    },
    .mRead =
      [this](const std::string& aKey) -> absl::StatusOr<store::TableRow> {
      if (mAway) {
        return Away();
      }
      return mTable.Read(aKey);
    },
  };
}

store::ObjectHooks
ScriptedPlatform::Objects()
{
  return {
    .mPut = [this](const std::string& aName,
                   const std::string& aBytes) -> absl::Status {
      if (mAway) {
        return Away();
      }
      mObjects.Put(aName, aBytes);
      return absl::OkStatus();
    },
    .mFetch = [this](const std::string& aName) -> absl::StatusOr<std::string> {
      if (mAway) {
        return Away();
      }
      auto bytes = mObjects.Fetch(aName);
      if (!bytes) {
        return absl::NotFoundError("no object " + aName);
      }
      return *std::move(bytes);
    },
    .mRemove = [this](const std::string& aName) -> absl::Status {
      if (mAway) {
        return Away();
      }
      mObjects.Remove(aName);
      return absl::OkStatus();
    },
  };
}

void
ScriptedPlatform::Script(std::vector<CommitFate> aFates)
{
  mFates.assign(aFates.begin(), aFates.end());
}

void
ScriptedPlatform::ApplyLate()
{
  for (const store::Transaction& late : std::exchange(mLate, {})) {
    static_cast<void>(mTable.Commit(late, TimePoint{}));
  }
}

std::uint64_t
ScriptedPlatform::Put(const std::string& aKey, const std::string& aValue)
{
  const auto result =
    mTable.Commit({ .mMutations = { { aKey, aValue } } }, TimePoint{});
  return result->VersionOf(aKey);
}

absl::StatusOr<store::CommitResult>
ScriptedPlatform::Commit(const store::Transaction& aTransaction)
{
  if (mBeforeCommit) {
    mBeforeCommit(aTransaction);
  }
  CommitFate fate = CommitFate::Serve;
  if (!mFates.empty()) {
    fate = mFates.front();
    mFates.pop_front();
  }
  if (mAway || fate == CommitFate::Refuse) {
    return Away();
  }
  if (fate == CommitFate::LoseRequest) {
    return NoAnswer();
  }
  if (fate == CommitFate::Delay) {
    mLate.push_back(aTransaction);
    return NoAnswer();
  }
  auto result = mTable.Commit(aTransaction, TimePoint{});
  return fate == CommitFate::LoseAnswer ? NoAnswer() : result;
}

} // namespace oriolevane::standins
