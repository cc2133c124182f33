// Connections between the project's own processes: frames of a length and that
// many bytes over TCP.
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

// Frames above this size end the connection.
constexpr std::size_t kMostFrameBytes = 4U << 20U;

struct FrameLinkHooks
{
  std::function<void(std::string_view aFrame)> mOnFrame;
  // Called once, when the link can no longer be used. The owner may destroy the
  // link only after the hook has returned.
  std::function<void()> mOnClosed;
};

class FrameLink
{
public:
  // Takes over an accepted socket.
  FrameLink(EventLoop& aLoop, int aSocket);
  // Starts to connect; what is sent before that is done is queued.
  FrameLink(EventLoop& aLoop, const SocketAddress& aAddress);
  FrameLink(const FrameLink&) = delete;
  FrameLink& operator=(const FrameLink&) = delete;
  ~FrameLink();

  void SetHooks(FrameLinkHooks aHooks) { mHooks = std::move(aHooks); }
  // Does nothing on a closed link.
  void Send(std::string_view aFrame);
  void Close();
  bool IsOpen() const { return mStream != nullptr; }

private:
  static void OnReadable(bufferevent* aStream, void* aContext);
  static void OnEvent(bufferevent* aStream, short aEvents, void* aContext);
  void Enable();
  void TakeFrames();
  void Fail();

  EventLoop& mLoop;
  bufferevent* mStream = nullptr;
  FrameLinkHooks mHooks;
  // Tells of a connection that could not even be tried.
  std::unique_ptr<Timer> mFailure;
};

class FrameListener
{
public:
  using AcceptHook = std::function<void(std::unique_ptr<FrameLink>)>;

  FrameListener(EventLoop& aLoop, AcceptHook aOnAccept);
  FrameListener(const FrameListener&) = delete;
  FrameListener& operator=(const FrameListener&) = delete;
  ~FrameListener();

  // Unavailable when the address cannot be bound.
  absl::Status Listen(const SocketAddress& aAddress);

private:
  EventLoop& mLoop;
  AcceptHook mOnAccept;
  evconnlistener* mListener = nullptr;
};

} // namespace oriolevane::eventloop
