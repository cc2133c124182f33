// Gateway threads wait here for the replies to their calls.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>

#include "framework/types/ids.h"
#include "protocol/types/callermessages.h"

namespace oriolevane::node {

// Thread-safe.
class CallBoard
{
public:
  // Numbers begin in the range of aIncarnation, so that they do not meet those
  // of an earlier process of this node.
  explicit CallBoard(Incarnation aIncarnation);

  // A number that no other call of this process has.
  std::uint64_t Open();
  // Blocks until the reply, at most for the time given; the call is then
  // closed.
  std::optional<protocol::RequestStatus> Wait(
    std::uint64_t aCall,
    std::chrono::milliseconds aTimeout);
  // Ignored when the call is not open.
  void Deliver(const protocol::CallerReply& aReply);
  std::size_t OpenCalls() const;

private:
  mutable std::mutex mMutex;
  std::condition_variable mDelivered;
  std::map<std::uint64_t, std::optional<protocol::RequestStatus>> mCalls;
  std::uint64_t mLast;
};

} // namespace oriolevane::node
