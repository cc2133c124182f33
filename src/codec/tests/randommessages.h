// Seeded messages of every kind, for tests and the benchmark.
#pragma once

#include <random>
#include <string>

#include "codec/types/peermessage.h"

namespace oriolevane::codec {

// Every field is random; texts and lists are short and at times empty.
class RandomMessages
{
public:
  explicit RandomMessages(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  // Kinds count from 0 and repeat; all alternatives of all groups come up.
  static constexpr std::size_t kKinds = 16;
  PeerMessage Message(std::size_t aKind);
  Envelope From();
  std::mt19937_64& Random() { return mRandom; }

private:
  std::uint64_t Below(std::uint64_t aMost) { return mRandom() % aMost; }
  bool Flag() { return Below(2) == 1; }
  std::string Bytes();
  std::string Id();
  std::chrono::milliseconds Time();
  std::optional<std::chrono::milliseconds> OptionalTime();
  Resources Amounts();
  protocol::Route Route();
  protocol::TaskKey Task();
  protocol::TaskState State();
  std::vector<std::uint32_t> Numbers();
  protocol::PlaceTasks Place();
  protocol::TaskUpdate Update();
  protocol::RequestSpec Spec();
  protocol::RequestStatus Status();
  protocol::ShardDigest Digest();
  Heartbeat Beat();

  std::mt19937_64 mRandom;
};

} // namespace oriolevane::codec
