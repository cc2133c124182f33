#include "meshtrial.h"

#include <ctime>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>

#include "peers/peermesh.h"
#include "samplemessages.h"

namespace oriolevane::wirebench {

namespace {

using Clock = std::chrono::steady_clock;
using Meshes = std::vector<std::unique_ptr<peers::PeerMesh>>;

constexpr std::chrono::seconds kMostWait{ 5 };
constexpr int kSeconds = 3;

std::size_t
ResidentBytes()
{
  std::ifstream stream("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  stream >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

double
ProcessorSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / 1e9;
}

std::uint64_t
BytesOut(const Meshes& aMeshes)
{
  std::uint64_t bytes = 0;
  for (const auto& mesh : aMeshes) {
    const peers::TrafficCounters counters = mesh->Counters();
    bytes += counters.mControlOut.mBytes;
    for (const peers::Traffic& traffic : counters.mOut) {
      bytes += traffic.mBytes;
    }
  }
  return bytes;
}

Meshes
StartMeshes(std::size_t aNodes)
{
  Meshes meshes;
  std::vector<peers::PeerMember> members;
  for (std::size_t i = 0; i < aNodes; ++i) {
    const NodeId node(fmt::format("node-{:02}", i));
    auto mesh = peers::PeerMesh::Start(
      { .mNode = node, .mIncarnation = Incarnation(1), .mSeed = i },
      { .mOnMessage = [](const codec::Envelope&, const codec::PeerMessage&) {},
        .mOnPeerState = [](const NodeId&, Incarnation, peers::PeerState) {} });
    if (!mesh.ok()) {
      return {};
    }
    members.push_back({ .mNode = node,
                        .mIncarnation = Incarnation(1),
                        .mAddress = (*mesh)->Address() });
    meshes.push_back(*std::move(mesh));
  }
  for (const auto& mesh : meshes) {
    mesh->SetMembers(members);
  }
  return meshes;
}

std::size_t
CountConnected(const Meshes& aMeshes)
{
  std::size_t connected = 0;
  for (const auto& mesh : aMeshes) {
    connected += mesh->Connected().size();
  }
  return connected;
}

void
TellHeartbeats(const Meshes& aMeshes)
{
  const codec::PeerMessage heartbeat = MakeHeartbeat(0, 1);
  for (const auto& mesh : aMeshes) {
    for (const NodeId& peer : mesh->Connected()) {
      mesh->Send(peer, heartbeat);
    }
  }
}

} // namespace

void
MeasureMesh(std::size_t aNodes)
{
  const std::size_t before = ResidentBytes();
  const Meshes meshes = StartMeshes(aNodes);
  const std::size_t wanted = aNodes * (aNodes - 1);
  const Clock::time_point end = Clock::now() + kMostWait;
  while (CountConnected(meshes) < wanted && Clock::now() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  const double processor = ProcessorSeconds();
  const std::uint64_t bytes = BytesOut(meshes);
  for (int second = 0; second < kSeconds; ++second) {
    TellHeartbeats(meshes);
    std::this_thread::sleep_for(std::chrono::seconds(1));
  }
  const double perNodeSecond = static_cast<double>(aNodes * kSeconds);
  const auto print = [aNodes](const char* aName, double aValue) {
    fmt::print("mesh_{}_nodes_{}={:.3f}\n", aNodes, aName, aValue);
  };
  print("connected_pairs", static_cast<double>(CountConnected(meshes)) / 2);
  print("resident_kib_per_node",
        static_cast<double>(ResidentBytes() - before) / 1024 /
          static_cast<double>(aNodes));
  print("core_percent_per_node",
        100 * (ProcessorSeconds() - processor) / perNodeSecond);
  print("out_bytes_per_second_per_node",
        static_cast<double>(BytesOut(meshes) - bytes) / perNodeSecond);
}

} // namespace oriolevane::wirebench
