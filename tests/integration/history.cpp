#include "integration/history.h"

#include <algorithm>
#include <map>
#include <set>

#include <cppunit/TestAssert.h>
#include <fmt/format.h>

namespace oriolevane::integration {

using nlohmann::json;

namespace {

using TaskName = std::pair<std::string, std::uint32_t>;

struct TaskLog
{
  int mStarts = 0;
  int mSuccesses = 0;
  // Attempts that run now, as worker and attempt.
  std::set<std::pair<std::string, std::uint64_t>> mRunning;
};

std::string
Describe(const json& aEvent)
{
  return fmt::format("{} #{} attempt {} on {}",
                     aEvent["request"].get<std::string>(),
                     aEvent["index"].get<std::uint32_t>(),
                     aEvent["attempt"].get<std::uint64_t>(),
                     aEvent["worker"].get<std::string>());
}

void
TakeStart(const json& aEvent,
          TaskLog& aLog,
          std::vector<std::string>& aViolations)
{
  if (aEvent.value("overcommit", false)) {
    aViolations.push_back("overcommitted worker: " + Describe(aEvent));
  }
  if (!aLog.mRunning.empty()) {
    aViolations.push_back("runs in two places: " + Describe(aEvent) +
                          " and on " + aLog.mRunning.begin()->first);
  }
  ++aLog.mStarts;
  aLog.mRunning.emplace(aEvent["worker"], aEvent["attempt"]);
  if (aEvent.value("neverRepeat", false) && aLog.mStarts > 1) {
    aViolations.push_back("never-repeat started again: " + Describe(aEvent));
  }
}

std::map<TaskName, TaskLog>
Replay(const json& aEvents, std::vector<std::string>& aViolations)
{
  std::map<TaskName, TaskLog> logs;
  for (const json& event : aEvents) {
    TaskLog& log = logs[{ event["request"], event["index"] }];
    const std::string kind = event["event"];
    if (kind == "started") {
      TakeStart(event, log, aViolations);
    } else if (kind != "refused") {
      log.mRunning.erase({ event["worker"].get<std::string>(),
                           event["attempt"].get<std::uint64_t>() });
      log.mSuccesses += kind == "succeeded" ? 1 : 0;
    }
  }
  return logs;
}

void
CheckTold(const Told& aTold,
          const std::map<TaskName, TaskLog>& aLogs,
          std::vector<std::string>& aViolations)
{
  const auto found = aLogs.find({ aTold.mId, 0 });
  const TaskLog log = found == aLogs.end() ? TaskLog{} : found->second;
  const auto told = [&aTold](const std::string& aOutcome) {
    return std::find(aTold.mOutcomes.begin(),
                     aTold.mOutcomes.end(),
                     aOutcome) != aTold.mOutcomes.end();
  };
  const bool lastNotRun =
    !aTold.mOutcomes.empty() && aTold.mOutcomes.back() == "not_run";
  if (lastNotRun && log.mStarts > 0) {
    aViolations.push_back(fmt::format(
      "told not run, but started {} times: {}", log.mStarts, aTold.mId));
  }
  if (told("ran") && log.mSuccesses == 0) {
    aViolations.push_back("told ran, but never succeeded: " + aTold.mId);
  }
  for (const std::string& answer : aTold.mAnswers) {
    if (answer != aTold.mExpectedAnswer) {
      aViolations.push_back(fmt::format(
        "wrong answer for {}: {}", aTold.mId, answer.substr(0, 80)));
    }
  }
}

} // namespace

json
WorkerHistory(const Cell& aCell)
{
  const json history =
    Ask({ .mAddress = aCell.WorkersAddress(), .mPath = "/control/history" })
      .Json();
  CPPUNIT_ASSERT(history.is_object());
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 },
                       history["dropped"].get<std::uint64_t>());
  json events = history["events"];
  std::stable_sort(
    events.begin(), events.end(), [](const json& aLeft, const json& aRight) {
      return aLeft["timeNs"].get<std::int64_t>() <
             aRight["timeNs"].get<std::int64_t>();
    });
  return events;
}

std::vector<std::string>
FindViolations(const json& aEvents, const std::vector<Told>& aRecord)
{
  std::vector<std::string> violations;
  const std::map<TaskName, TaskLog> logs = Replay(aEvents, violations);
  for (const Told& told : aRecord) {
    CheckTold(told, logs, violations);
  }
  return violations;
}

void
CheckPromises(const Cell& aCell, const Callers& aCallers, std::uint64_t aSeed)
{
  const std::vector<std::string> violations =
    FindViolations(WorkerHistory(aCell), aCallers.Record());
  std::string text = fmt::format("seed {}, logs in {}", aSeed, aCell.LogPath());
  for (const std::string& violation : violations) {
    text += "\n  " + violation;
  }
  CPPUNIT_ASSERT_MESSAGE(text, violations.empty());
}

} // namespace oriolevane::integration
