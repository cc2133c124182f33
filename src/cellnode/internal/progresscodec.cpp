// Encodes and decodes the records of the progress of jobs.
#include <map>
#include <set>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "cellnode/internal/rowreader.h"
#include "cellnode/recordcodec.h"

namespace oriolevane::cellnode {

namespace {

using nlohmann::json;

json
ToJson(const std::set<jobs::RunNumber>& aRuns)
{
  json value = json::array();
  for (const jobs::RunNumber run : aRuns) {
    value.push_back(run.mValue);
  }
  return value;
}

std::set<jobs::RunNumber>
RunsFrom(const json& aValue)
{
  std::set<jobs::RunNumber> runs;
  for (const json& run : aValue) {
    runs.insert(jobs::RunNumber(run.get<std::uint64_t>()));
  }
  return runs;
}

int
ToNumber(crashes::CrashEvidence aEvidence)
{
  return static_cast<int>(aEvidence);
}

// What a later version may have added counts as no evidence.
crashes::CrashEvidence
EvidenceFrom(const json& aValue)
{
  for (const crashes::CrashEvidence evidence :
       { crashes::CrashEvidence::LoneCrash,
         crashes::CrashEvidence::LoneCrashInSoundCell }) {
    if (aValue == ToNumber(evidence)) {
      return evidence;
    }
  }
  return crashes::CrashEvidence::Inconclusive;
}

// Earlier versions gave a task up for two losses with the obsolete field
// "only job".
constexpr bool kObsoleteOnlyJob = false;

json
ToJson(const std::vector<jobs::LostRunProgress>& aRuns)
{
  json value = json::array();
  for (const jobs::LostRunProgress& run : aRuns) {
    value.push_back(json::array({ run.mRun.mValue,
                                  run.mWorker.mValue,
                                  run.mIncarnation.mValue,
                                  kObsoleteOnlyJob,
                                  ToNumber(run.mEvidence) }));
  }
  return value;
}

json
ToJson(const std::map<jobs::RunNumber, crashes::Crash>& aCrashes)
{
  json value = json::array();
  for (const auto& [run, crash] : aCrashes) {
    value.push_back(json::array(
      { run.mValue, crash.mWorker.mValue, ToNumber(crash.mEvidence) }));
  }
  return value;
}

std::map<jobs::RunNumber, crashes::Crash>
CrashesFrom(const json& aValue)
{
  std::map<jobs::RunNumber, crashes::Crash> crashes;
  for (const json& crash : aValue) {
    crashes[jobs::RunNumber(crash.at(0).get<std::uint64_t>())] = {
      .mWorker = WorkerId(crash.at(1).get<std::string>()),
      .mEvidence = EvidenceFrom(crash.at(2))
    };
  }
  return crashes;
}

// Earlier versions recorded the numbers of the crashed runs only.
std::map<jobs::RunNumber, crashes::Crash>
CrashesFromRuns(const std::set<jobs::RunNumber>& aRuns)
{
  std::map<jobs::RunNumber, crashes::Crash> crashes;
  for (const jobs::RunNumber run : aRuns) {
    crashes[run] = {};
  }
  return crashes;
}

// Earlier versions give a task up for three of these runs.
std::set<jobs::RunNumber>
RunsWithEvidence(const std::map<jobs::RunNumber, crashes::Crash>& aCrashes)
{
  std::set<jobs::RunNumber> runs;
  for (const auto& [run, crash] : aCrashes) {
    if (crash.mEvidence != crashes::CrashEvidence::Inconclusive) {
      runs.insert(run);
    }
  }
  return runs;
}

std::vector<jobs::LostRunProgress>
LostRunsFrom(const json& aValue)
{
  constexpr std::size_t kEvidence = 4;
  std::vector<jobs::LostRunProgress> runs;
  for (const json& run : aValue) {
    runs.push_back(
      { .mRun = jobs::RunNumber(run.at(0).get<std::uint64_t>()),
        .mWorker = WorkerId(run.at(1).get<std::string>()),
        .mIncarnation = jobs::WorkerIncarnation(run.at(2).get<std::int64_t>()),
        .mEvidence = run.size() > kEvidence
                       ? EvidenceFrom(run.at(kEvidence))
                       : crashes::CrashEvidence::Inconclusive });
  }
  return runs;
}

json
ToJson(const jobs::TaskProgress& aTask)
{
  json value = json::array({ aTask.mIndex,
                             aTask.mSucceeded,
                             ToJson(aTask.mFailedRuns),
                             aTask.mLastRun.mValue,
                             aTask.mCheckpoint });
  // Left out when empty, as in rows of earlier versions.
  if (!aTask.mCrashes.empty() || !aTask.mLostRuns.empty()) {
    value.push_back(ToJson(RunsWithEvidence(aTask.mCrashes)));
    value.push_back(ToJson(aTask.mLostRuns));
    value.push_back(ToJson(aTask.mCrashes));
  }
  return value;
}

jobs::TaskProgress
TaskFrom(const json& aValue)
{
  constexpr std::size_t kCrashedRuns = 5;
  constexpr std::size_t kLostRuns = 6;
  constexpr std::size_t kCrashes = 7;
  jobs::TaskProgress task{ .mIndex = aValue.at(0).get<int>(),
                           .mSucceeded = aValue.at(1).get<bool>(),
                           .mFailedRuns = RunsFrom(aValue.at(2)),
                           .mLastRun =
                             jobs::RunNumber(aValue.at(3).get<std::uint64_t>()),
                           .mCheckpoint = aValue.at(4).get<std::string>() };
  if (aValue.size() > kCrashedRuns) {
    task.mLostRuns = LostRunsFrom(aValue.at(kLostRuns));
    task.mCrashes = aValue.size() > kCrashes
                      ? CrashesFrom(aValue.at(kCrashes))
                      : CrashesFromRuns(RunsFrom(aValue.at(kCrashedRuns)));
  }
  return task;
}

} // namespace

std::string
Encode(const jobs::ProgressRecord& aRecord)
{
  json steps = json::array();
  for (const jobs::StepProgress& step : aRecord.mSteps) {
    json tasks = json::array();
    for (const jobs::TaskProgress& task : step.mTasks) {
      tasks.push_back(ToJson(task));
    }
    steps.push_back(json::array(
      { step.mStep, ToJson(step.mFailedGangRuns), std::move(tasks) }));
  }
  json value{ { "job", aRecord.mJob.mValue },
              { "occurrence", aRecord.mOccurrence },
              { "finished", aRecord.mFinished },
              { "steps", std::move(steps) } };
  if (aRecord.mPart > 0) {
    value["part"] = aRecord.mPart;
  }
  return value.dump();
}

absl::StatusOr<jobs::ProgressRecord>
DecodeProgress(std::string_view aText)
{
  return ReadRow<jobs::ProgressRecord>(aText, [](const json& aValue) {
    jobs::ProgressRecord record;
    record.mJob = jobs::JobId(aValue.at("job").get<std::string>());
    record.mOccurrence = aValue.at("occurrence").get<int>();
    record.mPart = aValue.value("part", 0);
    record.mFinished = aValue.at("finished").get<bool>();
    for (const json& entry : aValue.at("steps")) {
      jobs::StepProgress step;
      step.mStep = entry.at(0).get<int>();
      step.mFailedGangRuns = RunsFrom(entry.at(1));
      for (const json& task : entry.at(2)) {
        step.mTasks.push_back(TaskFrom(task));
      }
      record.mSteps.push_back(std::move(step));
    }
    return record;
  });
}

} // namespace oriolevane::cellnode
