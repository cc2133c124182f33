#include "integration/cell.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <thread>

#include <cppunit/TestAssert.h>
#include <fmt/format.h>
#include <sys/wait.h>
#include <unistd.h>

namespace oriolevane::integration {

using nlohmann::json;

namespace {

constexpr int kPlatformHost = 100;
constexpr int kWorkersHost = 200;
constexpr std::chrono::milliseconds kPollEvery{ 20 };
constexpr std::chrono::seconds kGenerousWait{ 60 };
constexpr int kPartitions = 8;
constexpr int kShards = 4;

const char* const kConfiguration = R"({
  "workloads": { "booking": { "tolerated_wait_ms": 30000,
                              "retry": { "max_attempts": 6, "budget_ratio": 5, "budget_burst": 100000, "backoff_cap_ms": 500 } },
                 "billing": { "tolerated_wait_ms": 30000 },
                 "dispatch": { "spread_over": "zone" } },
  "teams": { "kitchens": {}, "crews": {} },
  "admission": { "rate_per_s": 2000 } })";

// Distinct for each cell of each test process, so that runs beside each other
// do not meet.
std::string
FreshNetwork()
{
  static int cells = 0;
  const int pid = static_cast<int>(getpid());
  return fmt::format(
    "127.{}.{}", 40 + (pid / 200 + 37 * cells++) % 200, pid % 200);
}

int
Wait(pid_t aPid)
{
  int status = 0;
  waitpid(aPid, &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

} // namespace

void
Await(const std::string& aWhat, const std::function<bool()>& aCondition)
{
  const auto end = std::chrono::steady_clock::now() + kGenerousWait;
  while (!aCondition()) {
    CPPUNIT_ASSERT_MESSAGE("gave up waiting until " + aWhat,
                           std::chrono::steady_clock::now() < end);
    std::this_thread::sleep_for(kPollEvery);
  }
}

Cell::Cell(CellOptions aOptions)
  : mOptions(aOptions)
  , mNetwork(FreshNetwork())
  , mPids(static_cast<std::size_t>(aOptions.mNodes), 0)
{
  std::string folder =
    (std::filesystem::temp_directory_path() / "oriole-cell-XXXXXX").string();
  CPPUNIT_ASSERT(mkdtemp(folder.data()) != nullptr);
  mFolder = folder;
  WriteHosts();
  mPlatform = Launch(
    PLATFORM_STANDIN_PATH,
    { "--listen", PlatformAddress(), "--hosts", mFolder + "/hosts.json" },
    "platform");
  mWorkers = Launch(WORKER_STANDIN_PATH,
                    { "--listen",
                      WorkersAddress(),
                      "--workers",
                      std::to_string(mOptions.mWorkers),
                      "--slots",
                      std::to_string(mOptions.mSlots) },
                    "workers");
  for (int node = 0; node < mOptions.mNodes; ++node) {
    StartNode(node);
  }
  Await("the first node takes the configuration", [this] {
    return Ask({ .mMethod = "PATCH",
                 .mAddress = NodeAddress(0),
                 .mPath = "/v1/configuration",
                 .mBody = kConfiguration,
                 .mHeaders = { { "If-Match", "\"0\"" },
                               { "Idempotency-Key", "start" } } })
             .mStatus == 200;
  });
  AwaitReady();
}

Cell::~Cell()
{
  for (std::size_t node = 0; node < mPids.size(); ++node) {
    if (mPids[node] != 0) {
      kill(mPids[node], SIGKILL);
      Wait(mPids[node]);
    }
  }
  for (const pid_t pid : { mPlatform, mWorkers }) {
    if (pid != 0) {
      kill(pid, SIGKILL);
      Wait(pid);
    }
  }
}

std::string
Cell::Ip(int aLast) const
{
  return fmt::format("{}.{}", mNetwork, aLast);
}

std::string
Cell::NodeAddress(int aNode) const
{
  return Ip(aNode + 1) + ":8080";
}

std::string
Cell::PlatformAddress() const
{
  return Ip(kPlatformHost) + ":7000";
}

std::string
Cell::WorkersAddress() const
{
  return Ip(kWorkersHost) + ":9000";
}

void
Cell::WriteHosts() const
{
  json hosts = json::array();
  for (int worker = 0; worker < mOptions.mWorkers; ++worker) {
    hosts.push_back(
      { { "worker", fmt::format("w{}", worker) },
        { "zone", fmt::format("zone-{}", worker % 2) },
        { "rack", fmt::format("rack-{}", worker % 6) },
        { "address", fmt::format("{}/w/w{}", WorkersAddress(), worker) },
        { "capacity",
          { { "millicores", 64'000 },
            { "memory_mib", 262'144 },
            { "accelerators", 0 },
            { "slots", mOptions.mSlots } } },
        { "leaving", false } });
  }
  std::ofstream(mFolder + "/hosts.json") << json{ { "hosts", hosts } }.dump();
}

std::string
Cell::WriteSettings(int aNode) const
{
  const std::string ip = Ip(aNode + 1);
  const json settings{ { "node",
                         { { "id", fmt::format("n{}", aNode) },
                           { "zone", fmt::format("zone-{}", aNode % 2) } } },
                       { "listen",
                         { { "callers", ip + ":8080" },
                           { "peers", ip + ":7070" },
                           { "workers", ip + ":9090" } } },
                       { "platform",
                         { { "address", PlatformAddress() },
                           { "timeout_ms", 1'000 } } },
                       { "cell",
                         { { "name", "test" },
                           { "request_partitions", kPartitions },
                           { "worker_shards", kShards } } },
                       { "leases",
                         { { "node_lease_ms", 2'000 },
                           { "node_renew_every_ms", 300 },
                           { "task_lease_ms", 3'000 },
                           { "worker_heartbeat_every_ms", 500 } } } };
  std::string path = fmt::format("{}/n{}.json", mFolder, aNode);
  std::ofstream(path) << settings.dump();
  return path;
}

pid_t
Cell::Launch(const std::string& aProgram,
             const std::vector<std::string>& aArguments,
             const std::string& aLog) const
{
  const std::string logPath = fmt::format("{}/{}.log", mFolder, aLog);
  std::vector<char*> arguments{ const_cast<char*>(aProgram.c_str()) };
  for (const std::string& argument : aArguments) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  const pid_t pid = fork();
  CPPUNIT_ASSERT(pid >= 0);
  if (pid == 0) {
    const int log = open(logPath.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execv(aProgram.c_str(), arguments.data());
    _exit(127);
  }
  return pid;
}

void
Cell::StartNode(int aNode)
{
  mPids[static_cast<std::size_t>(aNode)] =
    Launch(ORIOLED_PATH,
           { "--settings", WriteSettings(aNode) },
           fmt::format("n{}", aNode));
}

void
Cell::Signal(int aNode, int aSignal) const
{
  kill(mPids[static_cast<std::size_t>(aNode)], aSignal);
}

void
Cell::Kill(int aNode)
{
  Signal(aNode, SIGKILL);
  Reap(aNode);
}

int
Cell::Reap(int aNode)
{
  return Wait(std::exchange(mPids[static_cast<std::size_t>(aNode)], 0));
}

int
Cell::StopGracefully(int aNode)
{
  Signal(aNode, SIGTERM);
  return Reap(aNode);
}

bool
Cell::IsReady() const
{
  for (int node = 0; node < mOptions.mNodes; ++node) {
    if (mPids[static_cast<std::size_t>(node)] == 0) {
      continue;
    }
    if (Ask({ .mAddress = NodeAddress(node), .mPath = "/readyz" }).mStatus !=
        200) {
      return false;
    }
    const json shards =
      Ask({ .mAddress = NodeAddress(node), .mPath = "/v1/shards" }).Json();
    if (!shards.contains("shards") || shards["shards"].size() != kShards) {
      return false;
    }
    for (const json& shard : shards["shards"]) {
      if (!shard.value("ready", false)) {
        return false;
      }
    }
  }
  return true;
}

void
Cell::AwaitReady() const
{
  Await("the cell is ready; logs in " + mFolder, [this] { return IsReady(); });
}

HttpResult
Cell::Submit(int aNode, const std::string& aKey, const json& aBody) const
{
  return Ask({ .mMethod = "POST",
               .mAddress = NodeAddress(aNode),
               .mPath = "/v1/requests",
               .mBody = aBody.dump(),
               .mHeaders = { { "Idempotency-Key", aKey } } });
}

HttpResult
Cell::Control(const std::string& aAddress, const std::string& aPath) const
{
  return Ask({ .mMethod = "POST", .mAddress = aAddress, .mPath = aPath });
}

} // namespace oriolevane::integration
