// TCP connections between the project's own processes. A frame is a four-byte
// length in network byte order, followed by that many bytes of payload.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "eventloop/eventloop.h"
#include "eventloop/types/socketaddress.h"

struct bufferevent;
struct evconnlistener;

namespace oriolevane::eventloop {

// Largest payload of a frame. A longer incoming frame closes the connection.
constexpr std::size_t kMaxFramePayloadBytes = 4U << 20U;
// The most that may wait to be sent on one link, with the lengths of the
// frames. One of the largest frames can follow another one.
constexpr std::size_t kMaxQueuedLinkBytes = (8U << 20U) + 4096U;

// Callbacks of a link. They run on the event loop.
struct FrameLinkHooks
{
  std::function<void(std::string_view aFrame)> mOnFrame;
  // Called once when the connection fails or the peer closes it, but not for a
  // call of Close(). The owner may destroy the link only after the hook has
  // returned.
  std::function<void()> mOnClosed;
  // Called when an incomplete frame remains after a read.
  std::function<void()> mOnPartialFrame = {};
};

// One connection that sends and receives frames.
class FrameLink
{
public:
  // Takes ownership of an accepted socket.
  FrameLink(EventLoop& aLoop, int aSocket);
  // Starts to connect. Frames sent before the connection is established are
  // queued.
  FrameLink(EventLoop& aLoop, const SocketAddress& aAddress);
  FrameLink(const FrameLink&) = delete;
  FrameLink& operator=(const FrameLink&) = delete;
  ~FrameLink();

  void SetHooks(FrameLinkHooks aHooks) { mHooks = std::move(aHooks); }
  // Closes the connection from now on when a frame announces a longer payload.
  // The limit is kMaxFramePayloadBytes before the first call.
  void SetMaxPayload(std::size_t aBytes);
  // Queues the frame for sending. Does nothing on a closed link. When more than
  // kMaxQueuedLinkBytes would wait, the connection fails, and the hook for a
  // closed connection is called later from the loop.
  void Send(std::string_view aFrame);
  void Close();
  // Closes the connection and calls the hook for that later, from the loop.
  void Abort();
  bool IsOpen() const { return mStream != nullptr; }
  // Bytes received that are not yet a whole frame, and bytes to be sent.
  std::size_t ReceivedBytes() const;
  std::size_t QueuedBytes() const;

private:
  static void OnReadable(bufferevent* aStream, void* aContext);
  static void OnEvent(bufferevent* aStream, short aEvents, void* aContext);
  void Enable();
  void DeliverFrames();
  // Delivers the next frame. Returns false when it is not complete, or when the
  // link is closed.
  bool DeliverFrame();
  void Fail();

  EventLoop& mLoop;
  bufferevent* mStream = nullptr;
  FrameLinkHooks mHooks;
  std::size_t mMaxPayloadBytes = kMaxFramePayloadBytes;
  // Reports a connection attempt that failed immediately, when the hooks are
  // not set yet, or a call of Abort().
  std::unique_ptr<Timer> mFailureTimer;
};

// Accepts connections on an address and wraps each in a FrameLink.
class FrameListener
{
public:
  using AcceptHook = std::function<void(std::unique_ptr<FrameLink>)>;

  FrameListener(EventLoop& aLoop, AcceptHook aOnAccept);
  FrameListener(const FrameListener&) = delete;
  FrameListener& operator=(const FrameListener&) = delete;
  ~FrameListener();

  // Starts to listen. Returns InvalidArgument when the address is not IPv4, and
  // Unavailable when it cannot be bound.
  absl::Status Listen(const SocketAddress& aAddress);

private:
  void PauseAfterFailure();

  EventLoop& mLoop;
  AcceptHook mOnAccept;
  evconnlistener* mListener = nullptr;
  // Continues after a failure to accept.
  std::unique_ptr<Timer> mRetryTimer;
};

} // namespace oriolevane::eventloop
