// A job whose steps name all earlier steps in "after".
#include <thread>

#include "scenario.h"

namespace review {

namespace {

using nlohmann::json;

constexpr int kSteps = 32;
constexpr int kOrdinaryJobs = 12;
constexpr Millis kFinish{ 14000 };
constexpr int kOk = 200;

json
Configuration(int aVersion)
{
  return { { "version", aVersion },
           { "routes",
             { { { "name", "work" },
                 { "host", "jobs.example" },
                 { "pathPrefix", "/batch/" },
                 { "routeType", "non_idempotent" },
                 { "timeoutMs", 3000 },
                 { "targetLatencyMs", 1000 },
                 { "priority", 0 },
                 { "service", "pool-a" },
                 { "maxAttempts", 4 },
                 { "stretch", 2.0 } } } },
           { "services",
             { { { "name", "pool-a" },
                 { "admissionControl", false },
                 { "standby", false } } } },
           { "limits",
             { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 262144 } } } };
}

// Tasks that run one after the other. With aAll each step names all earlier
// steps, otherwise only the one before it; the order is the same.
json
Pipeline(int aSteps, bool aAll)
{
  json steps = json::array();
  for (int step = 0; step < aSteps; ++step) {
    json value{
      { "count", 1 }, { "cpu", 500 }, { "memMb", 256 }, { "estimateMs", 100 }
    };
    json after = json::array();
    for (int earlier = aAll ? 0 : std::max(step - 1, 0); earlier < step;
         ++earlier) {
      after.push_back(earlier);
    }
    if (!after.empty()) {
      value["after"] = after;
    }
    steps.push_back(value);
  }
  return { { "spec", "100" }, { "steps", steps } };
}

json
OrdinaryJob()
{
  return { { "spec", "3000" },
           { "steps",
             { { { "count", 4 },
                 { "cpu", 1000 },
                 { "memMb", 256 },
                 { "estimateMs", 3000 } },
               { { "count", 2 },
                 { "cpu", 1000 },
                 { "memMb", 256 },
                 { "estimateMs", 3000 },
                 { "after", { 0 } } } } } };
}

} // namespace

Verdict
RunManyDependencies(Scenario& aScenario)
{
  aScenario.World().PutConfiguration(Configuration(1));
  aScenario.StartWorkers("pool-a", { "a", "a", "a", "a", "a", "a", "a", "a" });
  if (!aScenario.AwaitReady(Millis(20000))) {
    return Verdict::NotRun;
  }
  Sleep(Millis(1000));
  std::vector<std::string> accepted;
  for (int job = 1; job <= kOrdinaryJobs; ++job) {
    const std::string path = "/batch/" + JobId(job);
    const int node = job % aScenario.Nodes() + 1;
    if (aScenario.Submit(node, path, OrdinaryJob().dump()).mStatus != kOk) {
      return Verdict::NotRun;
    }
    accepted.push_back(path);
  }
  const std::string pipeline = "/batch/" + JobId(0xabc);
  const bool all = aScenario.HasTrouble();
  const Response response =
    aScenario.Submit(1, pipeline, Pipeline(kSteps, all).dump());
  if (response.mStatus == kOk) {
    accepted.push_back(pipeline);
  }
  // The end of the traffic.
  Sleep(kFinish);
  int missing = 0;
  for (const std::string& path : accepted) {
    const std::string state = aScenario.StateOf(path);
    if (state != "completed") {
      aScenario.Log().Write("LOST: ",
                            path,
                            " was accepted, and ",
                            kFinish.count(),
                            " ms after the end of the traffic it is: ",
                            state);
      ++missing;
    }
    if (missing == 4) {
      break;
    }
  }
  return missing == 0 ? Verdict::Held : Verdict::Broken;
}

} // namespace review
