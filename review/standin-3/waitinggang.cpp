// A gang that can never start waits beside a long job.
#include <algorithm>

#include "scenario.h"

namespace review {

namespace {

using nlohmann::json;

constexpr int kOrdinaryJobs = 24;
constexpr Millis kFinish{ 14000 };
constexpr Millis kStandstill{ 3000 };
constexpr int kOk = 200;

// The batch queue of the site.
json
Configuration()
{
  return { { "version", 5 },
           { "routes",
             { { { "name", "print" },
                 { "host", "jobs.example" },
                 { "pathPrefix", "/print/" },
                 { "routeType", "non_idempotent" },
                 { "timeoutMs", 3000 },
                 { "targetLatencyMs", 1200 },
                 { "priority", 2 },
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

// Steps that run one after the other.
json
Job(int aSteps, Millis aTime, const json& aStep)
{
  json steps = json::array();
  for (int step = 0; step < aSteps; ++step) {
    json value = aStep;
    value["memMb"] = 256;
    value["estimateMs"] = aTime.count();
    if (step > 0) {
      value["after"] = { step - 1 };
    }
    steps.push_back(value);
  }
  return { { "spec", std::to_string(aTime.count()) }, { "steps", steps } };
}

bool
HasStarted(Scenario& aScenario, const std::string& aJob)
{
  const std::vector<TaskEvent> events = aScenario.World().Events();
  return std::any_of(
    events.begin(), events.end(), [&aJob](const TaskEvent& aEvent) {
      return aEvent.mTask.compare(0, aJob.size(), aJob) == 0;
    });
}

} // namespace

Verdict
RunWaitingGang(Scenario& aScenario)
{
  Platform& world = aScenario.World();
  world.PutConfiguration(Configuration());
  aScenario.StartWorkers("pool-a", { "a", "a", "a", "a", "b", "b", "b", "b" });
  if (!aScenario.AwaitReady(Millis(20000))) {
    return Verdict::NotRun;
  }
  Sleep(Millis(1000));
  for (int job = 1; job <= kOrdinaryJobs; ++job) {
    aScenario.Submit(
      job % aScenario.Nodes() + 1,
      "/print/" + JobId(job),
      Job(1, Millis(1500), { { "count", 2 }, { "cpu", 500 } }).dump());
  }
  if (aScenario.HasTrouble()) {
    // No worker has this label.
    aScenario.Submit(1,
                     "/print/" + JobId(0xbad),
                     Job(2,
                         Millis(15000),
                         { { "count", 2 },
                           { "cpu", 2700 },
                           { "gang", true },
                           { "requirements", "c" } })
                       .dump());
    Sleep(Millis(1000));
  }
  const std::string job = JobId(0x600d);
  const Response response = aScenario.Submit(
    2,
    "/print/" + job,
    Job(4,
        Millis(15000),
        { { "count", 1 }, { "cpu", 2700 }, { "requirements", "b" } })
      .dump());
  if (response.mStatus != kOk) {
    return Verdict::NotRun;
  }
  // The end of the traffic.
  Sleep(kFinish);
  aScenario.Log().Write("finish_s after the end of the traffic, " +
                        std::to_string(world.Running().size()) +
                        " tasks run on all workers");
  const bool before = HasStarted(aScenario, job);
  Sleep(kStandstill + Millis(500));
  const bool after = HasStarted(aScenario, job);
  const std::string state = aScenario.StateOf("/print/" + job);
  if (before || after || !world.Running().empty()) {
    return Verdict::Held;
  }
  aScenario.Log().Write(
    "LOST: for 3 s the accepted job " + job + " (" + state +
    ") had nothing running, while four idle workers have its label and "
    "nothing runs on any worker");
  return Verdict::Broken;
}

} // namespace review
