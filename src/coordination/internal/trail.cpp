#include "coordination/internal/trail.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <fmt/format.h>

namespace oriolevane::coordination::internal {

namespace {

constexpr std::size_t kMostMarks = 24;
constexpr std::size_t kFirstMarksKept = 8;

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
  if (mMarks.size() >= kMostMarks) {
    mMarks.erase(mMarks.begin() + kFirstMarksKept);
    ++mDropped;
  }
  const auto milliseconds = std::clamp<std::int64_t>(
    aSinceSubmission.count(), 0, std::numeric_limits<std::uint32_t>::max());
  mMarks.push_back(
    { static_cast<std::uint32_t>(milliseconds), aEvent, std::move(aDetail) });
}

std::vector<protocol::TrailEntry>
Trail::Entries() const
{
  std::vector<protocol::TrailEntry> entries;
  for (std::size_t index = 0; index < mMarks.size(); ++index) {
    const Mark& mark = mMarks[index];
    if (index == kFirstMarksKept && mDropped > 0) {
      entries.push_back(
        { .mSinceSubmission = std::chrono::milliseconds(mark.mMilliseconds),
          .mEvent = "omitted",
          .mDetail = fmt::format("{} entries", mDropped) });
    }
    entries.push_back(
      { .mSinceSubmission = std::chrono::milliseconds(mark.mMilliseconds),
        .mEvent = EventName(mark.mEvent),
        .mDetail = mark.mDetail });
  }
  return entries;
}

} // namespace oriolevane::coordination::internal
