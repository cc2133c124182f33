#include "eventloop/framelink.h"

#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>

#include "eventloop/internal/socketdrain.h"
#include "eventloop/internal/socketoptions.h"
#include "framework/log.h"

namespace oriolevane::eventloop {

namespace {

// A peer that has not acknowledged sent data for this long is treated as gone.
constexpr std::chrono::seconds kTcpUserTimeout{ 2 };
constexpr std::size_t kLengthBytes = sizeof(std::uint32_t);
// When a connection cannot be accepted, e.g. for lack of descriptors, it stays
// in the queue, and each pass of the loop would try again.
constexpr std::chrono::milliseconds kAcceptPause{ 100 };

} // namespace

FrameLink::FrameLink(EventLoop& aLoop, int aSocket)
  : mLoop(aLoop)
  , mStream(
      bufferevent_socket_new(aLoop.Base(),
                             aSocket,
                             BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS))
{
  SetStreamOptions(aSocket, kTcpUserTimeout);
  Enable();
}

FrameLink::FrameLink(EventLoop& aLoop, const SocketAddress& aAddress)
  : mLoop(aLoop)
  , mStream(
      bufferevent_socket_new(aLoop.Base(),
                             -1,
                             BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS))
{
  Enable();
  sockaddr_in address{};
  if (!ToSockaddr(aAddress, address) ||
      bufferevent_socket_connect(
        mStream, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    LogWarning("link_connect_failed").With("address", aAddress.ToText());
    Abort();
    return;
  }
  SetStreamOptions(bufferevent_getfd(mStream), kTcpUserTimeout);
}

FrameLink::~FrameLink()
{
  Close();
}

void
FrameLink::Enable()
{
  bufferevent_setcb(
    mStream, &FrameLink::OnReadable, nullptr, &FrameLink::OnEvent, this);
  LiftTransferLimits(mStream);
  SetMaxPayload(mMaxPayloadBytes);
  bufferevent_enable(mStream, EV_READ | EV_WRITE);
}

void
FrameLink::SetMaxPayload(std::size_t aBytes)
{
  mMaxPayloadBytes = aBytes;
  if (mStream != nullptr) {
    bufferevent_setwatermark(mStream, EV_READ, 0, kLengthBytes + aBytes);
  }
}

void
FrameLink::Send(std::string_view aFrame)
{
  if (mStream == nullptr) {
    return;
  }
  const std::size_t queued = QueuedBytes() + kLengthBytes + aFrame.size();
  if (queued > kMaxQueuedLinkBytes) {
    LogWarning("link_closed")
      .With("reason", "the peer does not take what is sent")
      .With("queued_bytes", queued);
    Abort();
    return;
  }
  const std::uint32_t length = htonl(static_cast<std::uint32_t>(aFrame.size()));
  bufferevent_write(mStream, &length, kLengthBytes);
  bufferevent_write(mStream, aFrame.data(), aFrame.size());
}

void
FrameLink::Close()
{
  if (mStream != nullptr) {
    bufferevent_free(std::exchange(mStream, nullptr));
  }
}

std::size_t
FrameLink::ReceivedBytes() const
{
  return mStream == nullptr
           ? 0
           : evbuffer_get_length(bufferevent_get_input(mStream));
}

std::size_t
FrameLink::QueuedBytes() const
{
  return mStream == nullptr
           ? 0
           : evbuffer_get_length(bufferevent_get_output(mStream));
}

void
FrameLink::Abort()
{
  Close();
  mFailureTimer = mLoop.MakeTimer([this] { Fail(); });
  mFailureTimer->StartAfter(Duration::zero());
}

void
FrameLink::Fail()
{
  Close();
  if (mHooks.mOnClosed) {
    // Copied because the callback may replace the hooks.
    const std::function<void()> closed = mHooks.mOnClosed;
    closed();
  }
}

void
FrameLink::OnReadable(bufferevent*, void* aContext)
{
  static_cast<FrameLink*>(aContext)->DeliverFrames();
}

void
FrameLink::OnEvent(bufferevent*, short aEvents, void* aContext)
{
  if ((aEvents & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    static_cast<FrameLink*>(aContext)->Fail();
  }
}

void
FrameLink::DeliverFrames()
{
  while (DeliverFrame()) {
  }
  if (ReceivedBytes() > 0 && mHooks.mOnPartialFrame) {
    mHooks.mOnPartialFrame();
  }
}

bool
FrameLink::DeliverFrame()
{
  if (mStream == nullptr) {
    return false;
  }
  evbuffer* input = bufferevent_get_input(mStream);
  std::uint32_t length = 0;
  if (evbuffer_copyout(input, &length, kLengthBytes) <
      static_cast<ev_ssize_t>(kLengthBytes)) {
    return false;
  }
  length = ntohl(length);
  if (length > mMaxPayloadBytes) {
    LogWarning("link_frame_refused")
      .With("bytes", length)
      .With("max_bytes", mMaxPayloadBytes);
    Fail();
    return false;
  }
  if (evbuffer_get_length(input) < kLengthBytes + length) {
    return false;
  }
  std::string frame(length, '\0');
  evbuffer_drain(input, kLengthBytes);
  evbuffer_remove(input, frame.data(), frame.size());
  if (mHooks.mOnFrame) {
    mHooks.mOnFrame(frame);
  }
  return true;
}

FrameListener::FrameListener(EventLoop& aLoop, AcceptHook aOnAccept)
  : mLoop(aLoop)
  , mOnAccept(std::move(aOnAccept))
  , mRetryTimer(mLoop.MakeTimer([this] { evconnlistener_enable(mListener); }))
{
}

FrameListener::~FrameListener()
{
  if (mListener != nullptr) {
    evconnlistener_free(mListener);
  }
}

absl::Status
FrameListener::Listen(const SocketAddress& aAddress)
{
  sockaddr_in address{};
  if (!ToSockaddr(aAddress, address)) {
    return absl::InvalidArgumentError("not an address: " + aAddress.ToText());
  }
  constexpr int kBacklog = 256;
  const auto accept = [](evconnlistener*,
                         evutil_socket_t aSocket,
                         sockaddr*,
                         int,
                         void* aContext) {
    auto* listener = static_cast<FrameListener*>(aContext);
    listener->mOnAccept(std::make_unique<FrameLink>(listener->mLoop, aSocket));
  };
  mListener = evconnlistener_new_bind(mLoop.Base(),
                                      accept,
                                      this,
                                      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                      kBacklog,
                                      reinterpret_cast<sockaddr*>(&address),
                                      sizeof(address));
  if (mListener == nullptr) {
    return absl::UnavailableError("cannot listen on " + aAddress.ToText());
  }
  evconnlistener_set_error_cb(mListener, [](evconnlistener*, void* aContext) {
    static_cast<FrameListener*>(aContext)->PauseAfterFailure();
  });
  return absl::OkStatus();
}

void
FrameListener::PauseAfterFailure()
{
  LogWarning("link_accept_failed")
    .With("reason", evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
  evconnlistener_disable(mListener);
  mRetryTimer->StartAfter(kAcceptPause);
}

} // namespace oriolevane::eventloop
