// Two workers crash, one after the other, with the same lasting task on them.
#include <algorithm>
#include <optional>

#include "scenario.h"

namespace review {

namespace {

using nlohmann::json;

constexpr int kWorkers = 8;
constexpr int kCrashes = 3;
constexpr Millis kDown{ 2000 };
constexpr Millis kBetween{ 12000 };
constexpr int kOk = 200;

json
Configuration()
{
  return { { "version", 2 },
           { "routes",
             { { { "name", "feed" },
                 { "host", "jobs.example" },
                 { "pathPrefix", "/feed/" },
                 { "routeType", "non_idempotent" },
                 { "timeoutMs", 3000 },
                 { "targetLatencyMs", 2500 },
                 { "priority", 1 },
                 { "service", "pool-a" },
                 { "maxAttempts", 3 },
                 { "stretch", 2.2 } } } },
           { "services",
             { { { "name", "pool-a" },
                 { "admissionControl", false },
                 { "standby", false } } } },
           { "limits",
             { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 262144 } } } };
}

// Tasks that last until the job is cancelled.
json
LastingJob()
{
  return { { "spec", "1000000" },
           { "steps",
             { { { "count", 4 },
                 { "cpu", 3400 },
                 { "memMb", 9700 },
                 { "estimateMs", 400 },
                 { "maxPerServer", 1 },
                 { "longRunning", true } } } } };
}

// The worker that has begun the newest run of a task.
std::optional<std::string>
WorkerOfTask(Scenario& aScenario, const std::string& aTask)
{
  std::optional<std::string> worker;
  for (const TaskEvent& event : aScenario.World().Events()) {
    if (event.mTask == aTask && event.mEnd.empty()) {
      worker = event.mWorker;
    }
  }
  return worker;
}

} // namespace

Verdict
RunLastingTask(Scenario& aScenario)
{
  Platform& world = aScenario.World();
  world.PutConfiguration(Configuration());
  aScenario.StartWorkers("pool-a", std::vector<std::string>(kWorkers, "a"));
  if (!aScenario.AwaitReady(Millis(20000))) {
    return Verdict::NotRun;
  }
  Sleep(Millis(1000));
  const std::string job = JobId(0xfeed);
  const std::string path = "/feed/" + job;
  if (aScenario.Submit(1, path, LastingJob().dump()).mStatus != kOk) {
    return Verdict::NotRun;
  }
  Sleep(Millis(3000));
  for (int crash = 0; crash < kCrashes; ++crash) {
    const std::optional<std::string> worker =
      WorkerOfTask(aScenario, job + ".0.0.0");
    if (!worker.has_value()) {
      return Verdict::NotRun;
    }
    const int index = std::stoi(worker->substr(2));
    if (aScenario.HasTrouble()) {
      world.CrashWorker(*worker);
      Sleep(kDown);
      world.StartWorker(aScenario.WorkerOf("pool-a", index, "a"));
    }
    Sleep(kBetween);
    const std::string state = aScenario.StateOf(path);
    if (state == "failed" || state == "cancelled") {
      aScenario.Log().Write("LOST: the accepted job ",
                            job,
                            " of lasting tasks is shown as ",
                            state,
                            " after ",
                            crash + 1,
                            " crashes of workers; no run has ended failed");
      return Verdict::Broken;
    }
  }
  return Verdict::Held;
}

} // namespace review
