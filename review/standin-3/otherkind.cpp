// Workers crash and start again under their id, as another kind.
#include <algorithm>
#include <atomic>
#include <random>
#include <thread>

#include "scenario.h"

namespace review {

namespace {

using nlohmann::json;

constexpr int kWorkers = 16;
// Two of sixteen workers are down at a time, for less than 4.5 s.
constexpr int kAtOnce = 2;
constexpr int kShortestDownMs = 100;
constexpr int kLongestDownMs = 900;
constexpr Millis kBetween{ 1300 };
constexpr int kRounds = 20;
constexpr int kClients = 2;
constexpr Millis kJobInterval{ 20 };

json
Configuration()
{
  return { { "version", 3 },
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

json
JobFor(const std::string& aKind)
{
  return { { "spec", "200" },
           { "steps",
             { { { "count", 2 },
                 { "cpu", 300 },
                 { "memMb", 256 },
                 { "estimateMs", 200 },
                 { "requirements", aKind } } } } };
}

// Jobs with an even number need kind "a", the others "b".
std::string
KindOf(std::uint64_t aJob)
{
  return aJob % 2 == 0 ? "a" : "b";
}

void
SendJobs(Scenario& aScenario,
         std::atomic<std::uint64_t>& aLastJob,
         const std::atomic<bool>& aStop)
{
  while (!aStop) {
    const std::uint64_t job = ++aLastJob;
    aScenario.Send(static_cast<int>(job % aScenario.Nodes()) + 1,
                   "POST",
                   "/batch/" + JobId(job),
                   JobFor(KindOf(job)).dump());
    Sleep(kJobInterval);
  }
}

// Neighbouring workers crash, and are back a little later, as another kind if
// there is trouble.
void
Restart(Scenario& aScenario,
        int aFirst,
        const std::string& aFormerKind,
        const std::string& aKind)
{
  static std::mt19937 random{ std::random_device()() };
  const Millis down(std::uniform_int_distribution<int>(kShortestDownMs,
                                                       kLongestDownMs)(random));
  Platform& world = aScenario.World();
  const std::string& kind = aScenario.HasTrouble() ? aKind : aFormerKind;
  for (int worker = aFirst; worker < aFirst + kAtOnce; ++worker) {
    world.CrashWorker(aScenario.WorkerOf("pool-a", worker, "").mId);
  }
  Sleep(down);
  for (int worker = aFirst; worker < aFirst + kAtOnce; ++worker) {
    world.StartWorker(aScenario.WorkerOf("pool-a", worker, kind));
  }
  Sleep(kBetween - down);
}

} // namespace

Verdict
RunOtherKind(Scenario& aScenario)
{
  Platform& world = aScenario.World();
  world.PutConfiguration(Configuration());
  // Two workers are of kind "a" at a time, in turn.
  std::vector<std::string> kinds(kWorkers, "b");
  std::fill_n(kinds.begin(), kAtOnce, "a");
  aScenario.StartWorkers("pool-a", kinds);
  if (!aScenario.AwaitReady(Millis(20000))) {
    return Verdict::NotRun;
  }
  Sleep(Millis(1000));
  std::atomic<bool> stop = false;
  std::atomic<std::uint64_t> lastJob = 0;
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&] { SendJobs(aScenario, lastJob, stop); });
  }
  for (int round = 0; round < kRounds; ++round) {
    const int former = round * kAtOnce % kWorkers;
    const int next = (round + 1) * kAtOnce % kWorkers;
    Restart(aScenario, former, kinds[former], "b");
    Restart(aScenario, next, kinds[next], "a");
  }
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }
  int wrong = 0;
  for (const TaskEvent& event : world.Events()) {
    const std::uint64_t job =
      std::stoull(event.mTask.substr(0, event.mTask.find('.')), nullptr, 16);
    if (event.mEnd.empty() && event.mKind != KindOf(job)) {
      aScenario.Log().Write("ROUTE: task ",
                            event.mTask,
                            " needs kind ",
                            KindOf(job),
                            " and was started at ",
                            event.mAt.count(),
                            " ms on worker ",
                            event.mWorker,
                            " of kind ",
                            event.mKind);
      ++wrong;
    }
  }
  return wrong == 0 ? Verdict::Held : Verdict::Broken;
}

} // namespace review
