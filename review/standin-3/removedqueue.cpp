// A queue is removed, and another one of its host has a prefix of its path.
#include <algorithm>

#include "scenario.h"

namespace review {

namespace {

using nlohmann::json;

// The bounds of the small sites.
constexpr Millis kConfigApply{ 2000 };
constexpr Millis kCancel{ 3000 };
constexpr Millis kStopGrace{ 900 };
constexpr int kOk = 200;
constexpr int kGone = 410;

json
Route(const std::string& aName, const std::string& aPrefix)
{
  return { { "name", aName },         { "host", "jobs.example" },
           { "pathPrefix", aPrefix }, { "routeType", "non_idempotent" },
           { "timeoutMs", 3000 },     { "targetLatencyMs", 1000 },
           { "priority", 0 },         { "service", "pool-a" },
           { "maxAttempts", 4 },      { "stretch", 2.0 } };
}

json
Configuration(int aVersion, bool aWithNight)
{
  json routes = json::array({ Route("tours", "/tours/") });
  if (aWithNight) {
    routes.push_back(Route("tours-night", "/tours/night/"));
  }
  return { { "version", aVersion },
           { "routes", routes },
           { "services",
             { { { "name", "pool-a" },
                 { "admissionControl", false },
                 { "standby", false } } } },
           { "limits",
             { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 262144 } } } };
}

// Far more work than the workers can do within the case.
json
LongJob()
{
  return { { "spec", "1000" },
           { "steps",
             { { { "count", 400 },
                 { "cpu", 2000 },
                 { "memMb", 256 },
                 { "estimateMs", 1000 } } } } };
}

bool
IsOf(const std::string& aTask, const std::string& aJob)
{
  return aTask.compare(0, aJob.size(), aJob) == 0;
}

} // namespace

Verdict
RunRemovedQueue(Scenario& aScenario)
{
  Platform& world = aScenario.World();
  world.PutConfiguration(Configuration(4, true));
  aScenario.StartWorkers("pool-a", { "a", "a", "a", "a" });
  if (!aScenario.AwaitReady(Millis(20000))) {
    return Verdict::NotRun;
  }
  Sleep(Millis(1000));
  const std::string job = JobId(0x5c0e7a21d94b36f8);
  const std::string path = "/tours/night/" + job;
  if (aScenario.Submit(1, path, LongJob().dump()).mStatus != kOk ||
      !aScenario.AwaitState(path, "running", Millis(5000))) {
    return Verdict::NotRun;
  }
  // Without the trouble, the new version removes nothing.
  world.PutConfiguration(Configuration(9, !aScenario.HasTrouble()));
  Sleep(kConfigApply + Millis(3000));
  bool broken = false;
  for (int node = 1; node <= aScenario.Nodes(); ++node) {
    if (aScenario.Send(node, "GET", path).mStatus == kGone) {
      aScenario.Log().Write("LOST: a GET for an accepted job that nobody has "
                            "cancelled is answered 410");
      broken = true;
    }
  }
  const int answer = aScenario.Send(2, "DELETE", path).mStatus;
  if (answer != kOk && answer != kGone) {
    return broken ? Verdict::Broken : Verdict::NotRun;
  }
  const Millis acknowledged = Now();
  Sleep(kCancel + kStopGrace + Millis(3000));
  const std::vector<TaskEvent> events = world.Events();
  const auto late =
    std::count_if(events.begin(), events.end(), [&](const TaskEvent& aEvent) {
      return aEvent.mEnd.empty() && IsOf(aEvent.mTask, job) &&
             aEvent.mAt > acknowledged + kCancel;
    });
  const std::vector<std::string> running = world.Running();
  const auto left =
    std::count_if(running.begin(),
                  running.end(),
                  [&](const std::string& aTask) { return IsOf(aTask, job); });
  if (late > 0 || left > 0) {
    aScenario.Log().Write(
      "UNASKED: the job's cancelling was acknowledged with " +
      std::to_string(answer) + "; later than cancel_ms after that " +
      std::to_string(late) + " of its tasks started, and " +
      std::to_string(left) + " run now");
    broken = true;
  }
  return broken ? Verdict::Broken : Verdict::Held;
}

} // namespace review
