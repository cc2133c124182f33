// The stand-in's stores behind the platform's hooks without HTTP, for
// deterministic tests: each fault happens exactly where the test asks for it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "framework/types/timepoint.h"
#include "standins/platform/objectstore.h"
#include "standins/platform/tablestore.h"
#include "store/platformhooks.h"

namespace oriolevane::standins {

// What happens to one commit.
enum class CommitFate
{
  Serve,
  // kUnavailable, no effect.
  Refuse,
  // kDeadlineExceeded, the effect is there.
  LoseAnswer,
  // kDeadlineExceeded, no effect.
  LoseRequest,
  // kDeadlineExceeded; the effect comes with ApplyLate().
  Delay
};

// Not thread-safe, except for its hooks when no fate is scripted.
class ScriptedPlatform
{
public:
  store::TableHooks Table();
  store::ObjectHooks Objects();

  // The fates of the next commits, in order; then all are served.
  void Script(std::vector<CommitFate> aFates);
  // The store is away: everything is refused without effect.
  void SetAway(bool aAway) { mAway = aAway; }
  // Applies the delayed commits in order.
  void ApplyLate();
  // Called before each commit is decided, e.g. to let another node act first.
  std::function<void(const store::Transaction&)> mBeforeCommit;

  // Writes a row without conditions.
  std::uint64_t Put(const std::string& aKey, const std::string& aValue);
  TableStore& Store() { return mTable; }
  const TableStore& Store() const { return mTable; }
  ObjectStore& ObjectsStore() { return mObjects; }

private:
  absl::StatusOr<store::CommitResult> Commit(
    const store::Transaction& aTransaction);

  TableStore mTable;
  ObjectStore mObjects;
  std::deque<CommitFate> mFates;
  std::vector<store::Transaction> mLate;
  bool mAway = false;
};

} // namespace oriolevane::standins
