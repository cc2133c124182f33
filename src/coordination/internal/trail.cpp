#include "coordination/internal/trail.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <fmt/format.h>

namespace oriolevane::coordination::internal {

namespace {

constexpr std::size_t kMaxEntries = 24;
constexpr std::size_t kLeadingEntries = 8;

const char*
EventName(TrailEvent aEvent)
{
  switch (aEvent) {
    case TrailEvent::Accepted:
      return "accepted";
    case TrailEvent::Recovered:
      return "recovered";
    case TrailEvent::Dispatched:
      return "dispatched";
    case TrailEvent::Held:
      return "held";
    case TrailEvent::HoldsCommitted:
      return "holds-committed";
    case TrailEvent::Running:
      return "running";
    case TrailEvent::TaskEnded:
      return "task-ended";
    case TrailEvent::NotStarted:
      return "not-started";
    case TrailEvent::RetryPlanned:
      return "retry-planned";
    case TrailEvent::NoShard:
      return "no-shard";
    case TrailEvent::GangReleased:
      return "gang-released";
    case TrailEvent::ShardTakenOver:
      return "shard-taken-over";
    case TrailEvent::CancelRequested:
      return "cancel-requested";
    case TrailEvent::DeadlinePassed:
      return "deadline-passed";
    case TrailEvent::Finished:
      return "finished";
  }
  return "";
}

} // namespace

void
Trail::Add(std::chrono::milliseconds aSinceSubmission,
           TrailEvent aEvent,
           std::string aDetail)
{
  if (mEntries.size() >= kMaxEntries) {
    mEntries.erase(mEntries.begin() + kLeadingEntries);
    ++mOmitted;
  }
  const auto milliseconds = std::clamp<std::int64_t>(
    aSinceSubmission.count(), 0, std::numeric_limits<std::uint32_t>::max());
  mEntries.push_back(
    { static_cast<std::uint32_t>(milliseconds), aEvent, std::move(aDetail) });
}

std::vector<protocol::TrailEntry>
Trail::Entries() const
{
  std::vector<protocol::TrailEntry> entries;
  for (std::size_t index = 0; index < mEntries.size(); ++index) {
    const Entry& entry = mEntries[index];
    if (index == kLeadingEntries && mOmitted > 0) {
      entries.push_back(
        { .mSinceSubmission = std::chrono::milliseconds(entry.mMilliseconds),
          .mEvent = "omitted",
          .mDetail = fmt::format("{} entries", mOmitted) });
    }
    entries.push_back(
      { .mSinceSubmission = std::chrono::milliseconds(entry.mMilliseconds),
        .mEvent = EventName(entry.mEvent),
        .mDetail = entry.mDetail });
  }
  return entries;
}

} // namespace oriolevane::coordination::internal
