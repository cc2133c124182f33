// Encodes and decodes the records of the progress of jobs.
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

json
ToJson(const std::vector<jobs::LostRunProgress>& aRuns)
{
  json value = json::array();
  for (const jobs::LostRunProgress& run : aRuns) {
    value.push_back(json::array({ run.mRun.mValue,
                                  run.mWorker.mValue,
                                  run.mIncarnation.mValue,
                                  run.mOnlyJob }));
  }
  return value;
}

std::vector<jobs::LostRunProgress>
LostRunsFrom(const json& aValue)
{
  std::vector<jobs::LostRunProgress> runs;
  for (const json& run : aValue) {
    runs.push_back(
      { .mRun = jobs::RunNumber(run.at(0).get<std::uint64_t>()),
        .mWorker = WorkerId(run.at(1).get<std::string>()),
        .mIncarnation = jobs::WorkerIncarnation(run.at(2).get<std::int64_t>()),
        .mOnlyJob = run.at(3).get<bool>() });
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
  if (!aTask.mCrashedRuns.empty() || !aTask.mLostRuns.empty()) {
    value.push_back(ToJson(aTask.mCrashedRuns));
    value.push_back(ToJson(aTask.mLostRuns));
  }
  return value;
}

jobs::TaskProgress
TaskFrom(const json& aValue)
{
  constexpr std::size_t kCrashedRuns = 5;
  jobs::TaskProgress task{ .mIndex = aValue.at(0).get<int>(),
                           .mSucceeded = aValue.at(1).get<bool>(),
                           .mFailedRuns = RunsFrom(aValue.at(2)),
                           .mLastRun =
                             jobs::RunNumber(aValue.at(3).get<std::uint64_t>()),
                           .mCheckpoint = aValue.at(4).get<std::string>() };
  if (aValue.size() > kCrashedRuns) {
    task.mCrashedRuns = RunsFrom(aValue.at(kCrashedRuns));
    task.mLostRuns = LostRunsFrom(aValue.at(kCrashedRuns + 1));
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
