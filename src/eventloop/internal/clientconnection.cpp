#include "eventloop/internal/clientconnection.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include "eventloop/connectiontable.h"

namespace oriolevane::eventloop {

namespace {

// Read beyond a request that has not been answered. Reading goes on while the
// response is sent, as only a read shows that the client has gone.
constexpr std::size_t kReadAheadBytes = 4096;
// The library keeps a header in three allocations, however short its line is.
constexpr std::size_t kBytesPerLine = 128;

// The number of line feeds in the last aCount bytes.
std::size_t
CountLines(evbuffer* aBuffer, std::size_t aCount)
{
  evbuffer_ptr position{};
  const std::size_t start = evbuffer_get_length(aBuffer) - aCount;
  if (evbuffer_ptr_set(aBuffer, &position, start, EVBUFFER_PTR_SET) != 0) {
    return 0;
  }
  const auto bytes = static_cast<ev_ssize_t>(aCount);
  std::vector<evbuffer_iovec> parts(static_cast<std::size_t>(
    evbuffer_peek(aBuffer, bytes, &position, nullptr, 0)));
  evbuffer_peek(
    aBuffer, bytes, &position, parts.data(), static_cast<int>(parts.size()));
  std::size_t lines = 0;
  for (const evbuffer_iovec& part : parts) {
    const auto* text = static_cast<const char*>(part.iov_base);
    lines +=
      static_cast<std::size_t>(std::count(text, text + part.iov_len, '\n'));
  }
  return lines;
}

} // namespace

ClientConnection::ClientConnection(
  bufferevent* aStream,
  ConnectionGroup& aGroup,
  std::function<void(ClientConnection&)> aOnChange)
  : mStream(aStream)
  , mGroup(aGroup)
  , mOnChange(std::move(aOnChange))
  , mSince(std::chrono::steady_clock::now())
{
  SetReadLimit(mGroup.mMaxRequestBytes);
  evbuffer_add_cb(bufferevent_get_input(mStream), &OnInputChanged, this);
  evbuffer_add_cb(bufferevent_get_output(mStream), &OnOutputChanged, this);
}

ClientConnection::~ClientConnection()
{
  evbuffer_remove_cb(bufferevent_get_input(mStream), &OnInputChanged, this);
  evbuffer_remove_cb(bufferevent_get_output(mStream), &OnOutputChanged, this);
}

void
ClientConnection::Enter(ConnectionState aState)
{
  mState = aState;
  mSince = std::chrono::steady_clock::now();
  const bool awaitsRequest =
    aState == ConnectionState::Idle || aState == ConnectionState::Receiving;
  SetReadLimit(awaitsRequest ? mGroup.mMaxRequestBytes : kReadAheadBytes);
}

void
ClientConnection::AwaitNextRequest()
{
  mReceivedBytes = evbuffer_get_length(bufferevent_get_input(mStream));
  mReceivedLines = 0;
  Enter(mReceivedBytes == 0 ? ConnectionState::Idle
                            : ConnectionState::Receiving);
  mOnChange(*this);
}

void
ClientConnection::StopReading()
{
  bufferevent_disable(mStream, EV_READ);
}

std::size_t
ClientConnection::HeldBytes() const
{
  return mReceivedBytes + (mReceivedLines * kBytesPerLine) +
         evbuffer_get_length(bufferevent_get_output(mStream));
}

void
ClientConnection::OnInputChanged(evbuffer* aInput,
                                 const evbuffer_cb_info* aInfo,
                                 void* aContext)
{
  if (aInfo->n_added == 0) {
    return;
  }
  auto* self = static_cast<ClientConnection*>(aContext);
  if (self->mState == ConnectionState::Idle) {
    self->Enter(ConnectionState::Receiving);
  }
  self->mReceivedBytes += aInfo->n_added;
  self->mReceivedLines += CountLines(aInput, aInfo->n_added);
  self->mOnChange(*self);
}

void
ClientConnection::OnOutputChanged(evbuffer*,
                                  const evbuffer_cb_info*,
                                  void* aContext)
{
  auto* self = static_cast<ClientConnection*>(aContext);
  self->mOnChange(*self);
}

void
ClientConnection::SetReadLimit(std::size_t aBytes)
{
  bufferevent_setwatermark(mStream, EV_READ, 0, aBytes);
}

} // namespace oriolevane::eventloop
