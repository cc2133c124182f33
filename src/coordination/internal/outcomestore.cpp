#include "coordination/internal/outcomestore.h"

#include <utility>

namespace oriolevane::coordination::internal {

namespace {

std::size_t
SizeOf(const RecordedOutcome& aOutcome)
{
  std::size_t bytes = sizeof(RecordedOutcome) + aOutcome.mStatus.mDetail.size();
  for (const protocol::TaskStatus& task : aOutcome.mStatus.mTasks) {
    bytes += sizeof(task) + task.mAnswer.size();
  }
  return bytes;
}

} // namespace

const RecordedOutcome*
OutcomeStore::Find(const RequestId& aId) const
{
  const auto found = mById.find(aId);
  return found == mById.end() ? nullptr : &found->second;
}

void
OutcomeStore::Add(RecordedOutcome aOutcome)
{
  const RequestId id = aOutcome.mStatus.mId;
  mBytes += SizeOf(aOutcome);
  mBySequence.emplace(aOutcome.mSequence, id);
  mById.emplace(id, std::move(aOutcome));
}

void
OutcomeStore::Forget(std::uint64_t aUpTo)
{
  while (!mBySequence.empty() && mBySequence.begin()->first <= aUpTo) {
    const auto found = mById.find(mBySequence.begin()->second);
    mBytes -= SizeOf(found->second);
    mById.erase(found);
    mBySequence.erase(mBySequence.begin());
  }
}

std::uint64_t
OutcomeStore::Forgettable(TimePoint aKeepSince,
                          std::size_t aMost,
                          std::size_t aMostBytes) const
{
  std::uint64_t upTo = 0;
  std::size_t count = mById.size();
  std::size_t bytes = mBytes;
  for (const auto& [sequence, id] : mBySequence) {
    const RecordedOutcome& outcome = mById.at(id);
    if (outcome.mKeptSince >= aKeepSince && count <= aMost &&
        bytes <= aMostBytes) {
      break;
    }
    upTo = sequence;
    --count;
    bytes -= SizeOf(outcome);
  }
  return upTo;
}

void
OutcomeStore::StartRetention(TimePoint aNow)
{
  for (auto& [id, outcome] : mById) {
    outcome.mKeptSince = aNow;
  }
}

std::vector<const RecordedOutcome*>
OutcomeStore::Sorted() const
{
  std::vector<const RecordedOutcome*> sorted;
  sorted.reserve(mById.size());
  for (const auto& [sequence, id] : mBySequence) {
    sorted.push_back(&mById.at(id));
  }
  return sorted;
}

} // namespace oriolevane::coordination::internal
