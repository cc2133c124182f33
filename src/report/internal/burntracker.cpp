#include "report/burntracker.h"

#include <algorithm>
#include <array>
#include <utility>

#include <nlohmann/json.hpp>

namespace oriolevane::report {

using nlohmann::json;

namespace {

constexpr std::array<std::chrono::minutes, 3> kWindows = {
  std::chrono::minutes(5),
  std::chrono::minutes(60),
  std::chrono::minutes(360)
};
// The alarm needs the shortest and the middle window to burn at this rate or
// faster: at it, two hours use 4% of a thirty-day budget.
constexpr double kAlarmBurnRate = 14.4;
// Teams have no objective of their own; they are held to this one.
constexpr double kTeamObjective = 0.99;

bool
IsBad(const coordination::ObjectiveSample& aSample,
      std::chrono::milliseconds aToleratedWait)
{
  const bool late =
    aSample.mWaited.has_value() && *aSample.mWaited > aToleratedWait;
  const bool missed =
    aSample.mDeadlineMet.has_value() && !*aSample.mDeadlineMet;
  return late || missed;
}

} // namespace

void
BurnTracker::SetPolicy(std::shared_ptr<const policy::CellPolicy> aPolicy)
{
  const std::lock_guard lock(mMutex);
  mPolicy = std::move(aPolicy);
  std::erase_if(mWorkloads, [this](const auto& aEntry) {
    return mPolicy->mWorkloads.count(aEntry.first) == 0;
  });
  std::erase_if(mTeams, [this](const auto& aEntry) {
    return mPolicy->mTeams.count(aEntry.first) == 0;
  });
}

void
BurnTracker::Add(const coordination::ObjectiveSample& aSample, TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  if (mPolicy == nullptr) {
    return;
  }
  const auto workload = mPolicy->mWorkloads.find(aSample.mWorkload);
  if (workload == mPolicy->mWorkloads.end() ||
      mPolicy->mTeams.count(aSample.mTeam) == 0) {
    return;
  }
  const bool bad = IsBad(aSample, workload->second.mToleratedWait);
  mWorkloads[aSample.mWorkload].Add(bad, aNow);
  mTeams[aSample.mTeam].Add(bad, aNow);
}

BurnLine
BurnTracker::Line(std::string aKind,
                  std::string aName,
                  double aObjective,
                  const SlidingCounter& aCounter,
                  TimePoint aNow) const
{
  BurnLine line{ .mKind = std::move(aKind),
                 .mName = std::move(aName),
                 .mObjective = aObjective };
  for (const std::chrono::minutes length : kWindows) {
    const SampleCounts counts = aCounter.Sum(length, aNow);
    BurnWindow window{ .mLength = length,
                       .mTotal = counts.mTotal,
                       .mBad = counts.mBad };
    if (counts.mTotal > 0) {
      window.mBurnRate = static_cast<double>(counts.mBad) /
                         static_cast<double>(counts.mTotal) / (1 - aObjective);
    }
    line.mWindows.push_back(window);
  }
  line.mAlarm = line.mWindows[0].mBurnRate >= kAlarmBurnRate &&
                line.mWindows[1].mBurnRate >= kAlarmBurnRate;
  return line;
}

std::vector<BurnLine>
BurnTracker::Report(TimePoint aNow) const
{
  const std::lock_guard lock(mMutex);
  std::vector<BurnLine> lines;
  for (const auto& [workload, counter] : mWorkloads) {
    lines.push_back(Line("workload",
                         workload.mValue,
                         mPolicy->mWorkloads.at(workload).mObjective,
                         counter,
                         aNow));
  }
  for (const auto& [team, counter] : mTeams) {
    lines.push_back(Line("team", team.mValue, kTeamObjective, counter, aNow));
  }
  return lines;
}

std::string
ReportJson(std::vector<BurnLine> aLines)
{
  std::stable_sort(aLines.begin(),
                   aLines.end(),
                   [](const BurnLine& aLeft, const BurnLine& aRight) {
                     return aLeft.mWindows.front().mBurnRate >
                            aRight.mWindows.front().mBurnRate;
                   });
  json lines = json::array();
  for (const BurnLine& line : aLines) {
    json windows = json::array();
    for (const BurnWindow& window : line.mWindows) {
      windows.push_back({ { "minutes", window.mLength.count() },
                          { "total", window.mTotal },
                          { "bad", window.mBad },
                          { "burn_rate", window.mBurnRate } });
    }
    lines.push_back({ { "kind", line.mKind },
                      { "name", line.mName },
                      { "objective", line.mObjective },
                      { "alarm", line.mAlarm },
                      { "windows", std::move(windows) } });
  }
  return json{ { "lines", std::move(lines) } }.dump();
}

} // namespace oriolevane::report
