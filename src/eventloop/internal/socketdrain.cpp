#include "eventloop/internal/socketdrain.h"

#include <algorithm>
#include <cstddef>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace oriolevane::eventloop {

namespace {

// The most that libevent itself reads from a socket at a time.
constexpr std::size_t kReadBytesPerPass = 4096;
constexpr std::size_t kMaxWriteBytesPerPass = 1'048'576;
// One stream does not hold up the others for more than this.
constexpr std::size_t kMaxReadBytesPerPass = 1'048'576;

// The number of bytes that the socket has received; 0 on an error, which
// libevent notices with its next read.
std::size_t
BytesReceived(int aSocket)
{
  int bytes = 0;
  if (aSocket < 0 || ioctl(aSocket, FIONREAD, &bytes) != 0) {
    return 0;
  }
  return static_cast<std::size_t>(std::max(bytes, 0));
}

// The bytes that the stream may still receive below its high watermark.
std::size_t
RoomBelowWatermark(bufferevent* aStream, const evbuffer* aInput)
{
  std::size_t high = 0;
  if (bufferevent_getwatermark(aStream, EV_READ, nullptr, &high) != 0 ||
      high == 0) {
    return kMaxReadBytesPerPass;
  }
  const std::size_t length = evbuffer_get_length(aInput);
  return length < high ? high - length : 0;
}

// Reads what the socket has received, up to a limit.
void
ReadAhead(bufferevent* aStream, evbuffer* aInput, std::size_t aMaxBytes)
{
  const int socket = bufferevent_getfd(aStream);
  const std::size_t bytes = std::min({ BytesReceived(socket),
                                       kMaxReadBytesPerPass,
                                       RoomBelowWatermark(aStream, aInput),
                                       aMaxBytes });
  evbuffer_iovec space{};
  if (bytes == 0 || evbuffer_reserve_space(
                      aInput, static_cast<ev_ssize_t>(bytes), &space, 1) != 1) {
    return;
  }
  const ssize_t received = recv(socket, space.iov_base, bytes, MSG_DONTWAIT);
  if (received <= 0) {
    return;
  }
  space.iov_len = static_cast<std::size_t>(received);
  evbuffer_commit_space(aInput, &space, 1);
}

void
OnInputChanged(evbuffer* aInput, const evbuffer_cb_info* aInfo, void* aStream)
{
  // Shorter reads have emptied the socket, and longer ones are those below.
  if (aInfo->n_added == kReadBytesPerPass) {
    ReadAhead(static_cast<bufferevent*>(aStream), aInput, kMaxReadBytesPerPass);
  }
}

} // namespace

void
LiftTransferLimits(bufferevent* aStream)
{
  bufferevent_set_max_single_write(aStream, kMaxWriteBytesPerPass);
  evbuffer_add_cb(bufferevent_get_input(aStream), OnInputChanged, aStream);
}

BudgetedInput::BudgetedInput(bufferevent* aStream, ReceiveBudget& aBudget)
  : mStream(aStream)
  , mBudget(aBudget)
{
  bufferevent_set_max_single_write(aStream, kMaxWriteBytesPerPass);
  evbuffer_add_cb(
    bufferevent_get_input(aStream), &BudgetedInput::OnChanged, this);
}

void
BudgetedInput::Reset()
{
  mBudget.mBytes -= mBytes;
  mBytes = 0;
}

void
BudgetedInput::OnChanged(evbuffer* aInput,
                         const evbuffer_cb_info* aInfo,
                         void* aContext)
{
  auto* input = static_cast<BudgetedInput*>(aContext);
  ReceiveBudget& budget = input->mBudget;
  if (aInfo->n_added == 0) {
    return;
  }
  input->mBytes += aInfo->n_added;
  budget.mBytes += aInfo->n_added;
  if (budget.mBytes > budget.mMaxBytes) {
    budget.mOnExceeded();
  } else if (aInfo->n_added == kReadBytesPerPass) {
    ReadAhead(input->mStream, aInput, budget.mMaxBytes - budget.mBytes);
  }
}

} // namespace oriolevane::eventloop
