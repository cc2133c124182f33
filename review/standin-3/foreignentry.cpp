// Another writer writes entries with missing fields under workers' ids.
#include <algorithm>
#include <map>
#include <set>

#include "scenario.h"

namespace review {

namespace {

using nlohmann::json;

constexpr int kWorkers = 8;
constexpr int kTaskCores = 1000;
constexpr int kEntries = 8;
constexpr Millis kBetween{ 3000 };
constexpr int kOk = 200;

json
Configuration()
{
  return { { "version", 6 },
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

// More tasks than all workers can run at a time.
json
WideJob()
{
  return { { "spec", "2000" },
           { "steps",
             { { { "count", 60 },
                 { "cpu", kTaskCores },
                 { "memMb", 256 },
                 { "estimateMs", 2000 } } } } };
}

// The entry of a worker as another writer has it: without "born", "sequence",
// "version" and "coldLeftMs", and with the room of another kind of machine.
std::string
ForeignEntry(const WorkerOptions& aWorker)
{
  return json{
    { "service", aWorker.mService },
    { "address", aWorker.mIp + ":" + std::to_string(aWorker.mPort) },
    { "zone", "zone-a" },
    { "slots", 8 },
    { "state", "ready" },
    { "capacity",
      { { "cpu", 4 * aWorker.mMilliCores },
        { "memMb", 262144 },
        { "gpu", 0 } } },
    { "labels", { aWorker.mKind, aWorker.mRack } }
  }.dump();
}

// The starts that brought a worker over its capacity.
int
CountStartsOverCapacity(Scenario& aScenario, int aTasksPerWorker)
{
  std::map<std::string, std::set<std::string>> running;
  int over = 0;
  for (const TaskEvent& event : aScenario.World().Events()) {
    std::set<std::string>& tasks = running[event.mWorker];
    if (!event.mEnd.empty()) {
      tasks.erase(event.mTask);
      continue;
    }
    tasks.insert(event.mTask);
    if (static_cast<int>(tasks.size()) > aTasksPerWorker) {
      aScenario.Log().Write("LIMIT: task ",
                            event.mTask,
                            " was started at ",
                            event.mAt.count(),
                            " ms on worker ",
                            event.mWorker,
                            " as its number ",
                            tasks.size(),
                            " of 1000 thousandths of a core; it has 8000");
      ++over;
    }
  }
  return over;
}

} // namespace

Verdict
RunForeignEntry(Scenario& aScenario)
{
  Platform& world = aScenario.World();
  world.PutConfiguration(Configuration());
  aScenario.StartWorkers("pool-a", std::vector<std::string>(kWorkers, "a"));
  if (!aScenario.AwaitReady(Millis(20000))) {
    return Verdict::NotRun;
  }
  Sleep(Millis(1000));
  std::uint64_t job = 0;
  for (int entry = 0; entry < kEntries; ++entry) {
    for (int wide = 0; wide < 2; ++wide) {
      ++job;
      const Response response =
        aScenario.Submit(static_cast<int>(job % aScenario.Nodes()) + 1,
                         "/batch/" + JobId(job),
                         WideJob().dump());
      if (response.mStatus != kOk) {
        return Verdict::NotRun;
      }
    }
    const WorkerOptions worker = aScenario.WorkerOf("pool-a", entry, "a");
    if (aScenario.HasTrouble()) {
      world.PutEntry(worker.mId, ForeignEntry(worker));
    }
    Sleep(kBetween);
  }
  const int capacity =
    aScenario.WorkerOf("pool-a", 0, "a").mMilliCores / kTaskCores;
  return CountStartsOverCapacity(aScenario, capacity) == 0 ? Verdict::Held
                                                           : Verdict::Broken;
}

} // namespace review
