#include "coordination/internal/outcomestore.h"

#include <utility>

namespace oriolevane::coordination::internal {

namespace {

std::size_t
EstimateSize(const RecordedOutcome& aOutcome)
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
  mBytes += EstimateSize(aOutcome);
  mBySequence.emplace(aOutcome.mSequence, id);
  mById.emplace(id, std::move(aOutcome));
}

void
OutcomeStore::Forget(std::uint64_t aLastSequence)
{
  while (!mBySequence.empty() && mBySequence.begin()->first <= aLastSequence) {
    const auto found = mById.find(mBySequence.begin()->second);
    mBytes -= EstimateSize(found->second);
    mById.erase(found);
    mBySequence.erase(mBySequence.begin());
  }
}

std::uint64_t
OutcomeStore::LastForgettableSequence(TimePoint aKeepSince,
                                      std::size_t aMaxCount,
                                      std::size_t aMaxBytes) const
{
  std::uint64_t lastSequence = 0;
  std::size_t count = mById.size();
  std::size_t bytes = mBytes;
  for (const auto& [sequence, id] : mBySequence) {
    const RecordedOutcome& outcome = mById.at(id);
    if (outcome.mKeptSince >= aKeepSince && count <= aMaxCount &&
        bytes <= aMaxBytes) {
      break;
    }
    lastSequence = sequence;
    --count;
    bytes -= EstimateSize(outcome);
  }
  return lastSequence;
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
