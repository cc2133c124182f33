// Measures the messages between nodes: time and length by kind, the bytes a
// second that heartbeats and pings cost a node, and frames a second over
// loopback. Prints name=value lines.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "codec/codec.h"
#include "framework/log.h"
#include "meshtrial.h"
#include "peers/peermesh.h"
#include "samplemessages.h"

DEFINE_uint64(rounds, 20000, "times that each message is coded");
DEFINE_uint64(frames, 100000, "messages sent over loopback");

namespace oriolevane::wirebench {

namespace {

constexpr std::uint64_t kMostBytes = 1024UL * 1024 * 1024;

using Clock = std::chrono::steady_clock;

// As the mesh sends messages: the hello has said who sends.
const codec::Envelope kFrom;

double
NanosecondsEach(Clock::time_point aStart, std::uint64_t aCount)
{
  const std::chrono::duration<double, std::nano> elapsed =
    Clock::now() - aStart;
  return elapsed.count() / static_cast<double>(aCount);
}

void
MeasureCoding(const Sample& aSample)
{
  std::string frame = *codec::Encode(kFrom, aSample.mMessage);
  // Bounds the bytes coded for the longest messages.
  const std::uint64_t rounds =
    std::min<std::uint64_t>(FLAGS_rounds, kMostBytes / frame.size());
  Clock::time_point start = Clock::now();
  for (std::uint64_t i = 0; i < rounds; ++i) {
    frame = *codec::Encode(kFrom, aSample.mMessage);
  }
  const double encode = NanosecondsEach(start, rounds);
  std::uint64_t good = 0;
  start = Clock::now();
  for (std::uint64_t i = 0; i < rounds; ++i) {
    good += codec::Decode(frame).ok() ? 1 : 0;
  }
  const double decode = NanosecondsEach(start, rounds);
  fmt::print("{}_bytes={}\n", aSample.mName, frame.size());
  fmt::print("{}_encode_ns={:.0f}\n", aSample.mName, encode);
  fmt::print("{}_decode_ns={:.0f}\n", aSample.mName, decode);
  if (good != rounds) {
    fmt::print("{}_not_decoded={}\n", aSample.mName, rounds - good);
  }
}

// A node that tells its heartbeat to each other node once a second. Each
// connection then needs one ping a second besides, as pings go out after half a
// second without a message.
void
EstimateHeartbeats(std::size_t aNodes, std::size_t aDigests)
{
  constexpr std::size_t kPartitionsInAll = 64;
  constexpr std::size_t kFrameOverhead = 5;
  const std::size_t partitions =
    std::max<std::size_t>(1, kPartitionsInAll / aNodes);
  const std::size_t heartbeat =
    codec::Encode(kFrom, MakeHeartbeat(aDigests, partitions))->size() +
    kFrameOverhead;
  const std::size_t bytes = (aNodes - 1) * (heartbeat + kFrameOverhead);
  fmt::print("heartbeat_{}_nodes_{}_digests_bytes_each={}\n",
             aNodes,
             aDigests,
             heartbeat);
  fmt::print("heartbeat_{}_nodes_{}_digests_out_bytes_per_second={}\n",
             aNodes,
             aDigests,
             bytes);
}

struct Node
{
  std::atomic<std::uint64_t> mReceived{ 0 };
  std::atomic<bool> mUp{ false };
  std::unique_ptr<peers::PeerMesh> mMesh;

  explicit Node(const std::string& aName)
  {
    auto mesh = peers::PeerMesh::Start(
      { .mNode = NodeId(aName), .mIncarnation = Incarnation(1) },
      { .mOnMessage = [this](const codec::Envelope&,
                             const codec::PeerMessage&) { ++mReceived; },
        .mOnPeerState =
          [this](const NodeId&, Incarnation, peers::PeerState aState) {
            mUp = aState == peers::PeerState::Up;
          } });
    if (mesh.ok()) {
      mMesh = *std::move(mesh);
    }
  }
};

void
MeasureLoopback(const Sample& aSample)
{
  constexpr std::chrono::seconds kMost{ 8 };
  Node left("a");
  Node right("b");
  left.mMesh->SetMembers({ { .mNode = NodeId("b"),
                             .mIncarnation = Incarnation(1),
                             .mAddress = right.mMesh->Address() } });
  const Clock::time_point end = Clock::now() + kMost;
  while (!left.mUp && Clock::now() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  const Clock::time_point start = Clock::now();
  std::uint64_t sent = 0;
  while (sent < FLAGS_frames && Clock::now() < end) {
    if (left.mMesh->Send(NodeId("b"), aSample.mMessage)) {
      ++sent;
    } else {
      std::this_thread::yield();
    }
  }
  while (right.mReceived < sent && Clock::now() < end) {
    std::this_thread::yield();
  }
  const double each = NanosecondsEach(start, right.mReceived);
  fmt::print("loopback_{}_frames={}\n", aSample.mName, right.mReceived.load());
  fmt::print(
    "loopback_{}_frames_per_second={:.0f}\n", aSample.mName, 1e9 / each);
}

} // namespace

void
Run()
{
  SetLogLevel(LogLevel::Warning);
  for (const Sample& sample : MakeSamples()) {
    MeasureCoding(sample);
  }
  for (const std::size_t nodes : { 16, 60 }) {
    for (const std::size_t digests : { 0, 1, 2 }) {
      EstimateHeartbeats(nodes, digests);
    }
  }
  MeasureLoopback(MakeSamples().front());
  for (const std::size_t nodes : { 16, 60 }) {
    MeasureMesh(nodes);
  }
}

} // namespace oriolevane::wirebench

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  oriolevane::wirebench::Run();
  return 0;
}
