#include "peers/internal/connection.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <optional>
#include <utility>

#include <Poco/Exception.h>
#include <fmt/format.h>

#include "codec/codec.h"

namespace oriolevane::peers {

namespace {

constexpr std::size_t kHelloBytes = 4096;
constexpr std::size_t kChunkBytes = 64UL * 1024;
// Chunks read before other connections get their turn.
constexpr int kChunksATurn = 8;
// An out buffer that grew for one long frame is given back above this.
constexpr std::size_t kKeptBytes = 256UL * 1024;

// Fine when the socket only would have blocked, which may come as an exception.
absl::Status
FaultOf(const Poco::Exception& aFault)
{
  if (aFault.code() == EAGAIN || aFault.code() == EWOULDBLOCK) {
    return absl::OkStatus();
  }
  return absl::UnavailableError(aFault.displayText());
}

} // namespace

Connection::Connection(const Poco::Net::StreamSocket& aSocket,
                       NodeId aExpected,
                       TimePoint aNow)
  : mSocket(aSocket)
  , mExpected(std::move(aExpected))
  , mOpened(aNow)
  , mStage(IsDialled() ? Stage::Connecting : Stage::AwaitingHello)
  , mHealth(aNow)
  , mReader(kHelloBytes)
{
}

absl::Status
Connection::FinishConnect(TimePoint aNow)
{
  const int error = mSocket.impl()->socketError();
  if (error != 0) {
    return absl::UnavailableError(
      fmt::format("connect failed with error {}", error));
  }
  mStage = Stage::AwaitingHello;
  mHealth.Received(aNow);
  mHealth.Progressed(aNow);
  return absl::OkStatus();
}

void
Connection::Establish(NodeId aPeer, Incarnation aIncarnation)
{
  mStage = Stage::Established;
  mPeer = std::move(aPeer);
  mPeerIncarnation = aIncarnation;
  mReader.SetMaxBody(codec::kMaxFrameBytes);
}

absl::Status
Connection::Receive(TimePoint aNow, const OnFrame& aOnFrame)
{
  static thread_local std::array<char, kChunkBytes> chunk;
  for (int turn = 0; turn < kChunksATurn; ++turn) {
    int received = 0;
    try {
      received = mSocket.receiveBytes(chunk.data(), kChunkBytes);
    } catch (const Poco::Exception& fault) {
      return FaultOf(fault);
    }
    if (received < 0) {
      return absl::OkStatus();
    }
    if (received == 0) {
      return absl::UnavailableError("closed by the other end");
    }
    mHealth.Received(aNow);
    mReader.Append({ chunk.data(), static_cast<std::size_t>(received) });
    if (absl::Status given = GiveOutFrames(aOnFrame); !given.ok()) {
      return given;
    }
    if (static_cast<std::size_t>(received) < kChunkBytes) {
      return absl::OkStatus();
    }
  }
  return absl::OkStatus();
}

absl::Status
Connection::GiveOutFrames(const OnFrame& aOnFrame)
{
  while (true) {
    const absl::StatusOr<std::optional<FrameView>> frame = mReader.Next();
    if (!frame.ok()) {
      return frame.status();
    }
    if (!frame->has_value()) {
      return absl::OkStatus();
    }
    if (absl::Status taken = aOnFrame(**frame); !taken.ok()) {
      return taken;
    }
  }
}

std::size_t
Connection::Queue(FrameKind aKind, std::string_view aBody, TimePoint aNow)
{
  if (WaitingBytes() == 0) {
    mHealth.Progressed(aNow);
  }
  mHealth.Queued(aNow);
  AppendFrame(mOut, aKind, aBody);
  return aBody.size() + kFrameOverhead;
}

absl::Status
Connection::Flush(TimePoint aNow)
{
  while (mStage != Stage::Connecting && WaitingBytes() > 0) {
    int sent = 0;
    try {
      sent = mSocket.sendBytes(
        mOut.data() + mOutAt, static_cast<int>(WaitingBytes()), MSG_NOSIGNAL);
    } catch (const Poco::Exception& fault) {
      return FaultOf(fault);
    }
    if (sent <= 0) {
      return absl::OkStatus();
    }
    mOutAt += static_cast<std::size_t>(sent);
    mHealth.Progressed(aNow);
  }
  if (WaitingBytes() == 0) {
    mHealth.Progressed(aNow);
    mOut.clear();
    mOutAt = 0;
    if (mOut.capacity() > kKeptBytes) {
      mOut.shrink_to_fit();
    }
  }
  return absl::OkStatus();
}

} // namespace oriolevane::peers
