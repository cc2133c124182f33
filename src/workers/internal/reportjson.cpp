#include "workers/workerjson.h"

#include <unordered_set>
#include <utility>

#include <nlohmann/json.hpp>

#include "framework/fieldcount.h"
#include "workers/internal/jsonreader.h"
#include "workers/internal/jsonwriter.h"

namespace oriolevane::workers {

namespace {

static_assert(FieldCount<protocol::WorkerReport>() == 11 &&
              FieldCount<protocol::RunningTask>() == 3 &&
              FieldCount<protocol::EndedTask>() == 6);

using protocol::EndedTask;
using protocol::RunningTask;
using protocol::TaskKey;
using protocol::WorkerReport;

nlohmann::json
RunningToJson(const RunningTask& aRunning)
{
  return { { "task", TaskToJson(aRunning.mTask) },
           { "partition", aRunning.mPartition.mValue },
           { "resources", AmountsToJson(aRunning.mResources) } };
}

nlohmann::json
EndedToJson(const EndedTask& aEnded)
{
  return { { "task", TaskToJson(aEnded.mTask) },
           { "partition", aEnded.mPartition.mValue },
           { "started", aEnded.mStarted },
           { "succeeded", aEnded.mSucceeded },
           { "stopped", aEnded.mStopped },
           { "answer", BytesToJson(aEnded.mAnswer) } };
}

RunningTask
ReadRunning(JsonReader& aReader)
{
  RunningTask running;
  running.mTask = aReader.Task("task");
  running.mPartition = PartitionId(aReader.SmallNumber("partition"));
  running.mResources = aReader.Amounts("resources");
  return running;
}

EndedTask
ReadEnded(JsonReader& aReader)
{
  EndedTask ended;
  ended.mTask = aReader.Task("task");
  ended.mPartition = PartitionId(aReader.SmallNumber("partition"));
  ended.mStarted = aReader.Flag("started");
  ended.mSucceeded = aReader.Flag("succeeded");
  ended.mStopped = aReader.Flag("stopped");
  ended.mAnswer = aReader.Bytes("answer");
  if (ended.mSucceeded && !ended.mStarted) {
    aReader.Fail("succeeded", "true for a task that was not started");
  }
  return ended;
}

void
ReadTasks(JsonReader& aReader, WorkerReport& aReport)
{
  std::unordered_set<TaskKey> seen;
  const auto checkOnce = [&seen](JsonReader& aElement, const TaskKey& aTask) {
    if (!seen.insert(aTask).second) {
      aElement.Fail("task", "listed twice");
    }
  };
  aReader.ForEach("running", [&](JsonReader& aElement) {
    aReport.mRunning.push_back(ReadRunning(aElement));
    checkOnce(aElement, aReport.mRunning.back().mTask);
  });
  aReader.ForEach("ended", [&](JsonReader& aElement) {
    aReport.mEnded.push_back(ReadEnded(aElement));
    checkOnce(aElement, aReport.mEnded.back().mTask);
  });
}

} // namespace

absl::StatusOr<std::string>
EncodeWorkerReport(const WorkerReport& aReport)
{
  nlohmann::json running = nlohmann::json::array();
  for (const RunningTask& task : aReport.mRunning) {
    running.push_back(RunningToJson(task));
  }
  nlohmann::json ended = nlohmann::json::array();
  for (const EndedTask& task : aReport.mEnded) {
    ended.push_back(EndedToJson(task));
  }
  return WriteJson({ { "worker", aReport.mWorker.mValue },
                     { "incarnation", aReport.mIncarnation.mValue },
                     { "sequence", aReport.mSequence },
                     { "clockMs", aReport.mClock.count() },
                     { "shard", aReport.mShard.mValue },
                     { "highestEpoch", aReport.mHighestEpoch.mValue },
                     { "fenced", aReport.mFenced },
                     { "leaving", aReport.mLeaving },
                     { "commandSequence", aReport.mCommandSequence },
                     { "running", std::move(running) },
                     { "ended", std::move(ended) } });
}

absl::StatusOr<WorkerReport>
ParseWorkerReport(std::string_view aText)
{
  nlohmann::json object;
  if (absl::Status parsed = ParseObject(aText, object); !parsed.ok()) {
    return parsed;
  }
  absl::Status status;
  JsonReader reader(object, "", status);
  WorkerReport report;
  report.mWorker = WorkerId(reader.Id("worker"));
  report.mIncarnation = Incarnation(reader.Number("incarnation"));
  report.mSequence = reader.Number("sequence");
  report.mClock = reader.Time("clockMs");
  report.mShard = ShardId(reader.SmallNumber("shard"));
  report.mHighestEpoch = Epoch(reader.Number("highestEpoch"));
  report.mFenced = reader.Flag("fenced");
  report.mLeaving = reader.Flag("leaving");
  report.mCommandSequence = reader.Number("commandSequence");
  ReadTasks(reader, report);
  if (!status.ok()) {
    return status;
  }
  return report;
}

} // namespace oriolevane::workers
