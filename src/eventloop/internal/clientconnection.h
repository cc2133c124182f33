// One connection of a client to an HTTP server: what it is doing and how much
// it makes the process hold.
#pragma once

#include <cstddef>
#include <functional>

#include "framework/types/timepoint.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_connection;

namespace oriolevane::eventloop {

// The connections of one server, which are counted together.
struct ConnectionGroup;

enum class ConnectionState
{
  // Nothing of a request has arrived.
  Idle,
  // A part of a request has arrived.
  Receiving,
  // The handler has the request.
  Answering,
  // The response is being sent.
  Responding
};

class ClientConnection
{
public:
  // aOnChange is called with each change of HeldBytes(), from within the
  // callbacks of the stream, where a connection must not be freed.
  ClientConnection(bufferevent* aStream,
                   ConnectionGroup& aGroup,
                   std::function<void(ClientConnection&)> aOnChange);
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;
  ~ClientConnection();

  // Enters a state that begins now.
  void Enter(ConnectionState aState);
  // The response has been sent; the client may have sent more already.
  void AwaitNextRequest();
  // No byte is read from now on.
  void StopReading();

  bufferevent* Stream() const { return mStream; }
  ConnectionGroup& Group() const { return mGroup; }
  ConnectionState State() const { return mState; }
  // When the present state began.
  TimePoint Since() const { return mSince; }
  // An upper bound of the memory that the current request and the unsent
  // response take.
  std::size_t HeldBytes() const;

  // The library's object for the connection; null until it has made it.
  evhttp_connection* mHttp = nullptr;
  // What the table has counted of HeldBytes().
  std::size_t mCountedBytes = 0;
  // The connection will be closed.
  bool mIsCondemned = false;

private:
  static void OnInputChanged(evbuffer* aInput,
                             const evbuffer_cb_info* aInfo,
                             void* aContext);
  static void OnOutputChanged(evbuffer* aOutput,
                              const evbuffer_cb_info* aInfo,
                              void* aContext);
  // Bounds what is read beyond what the server has consumed.
  void SetReadLimit(std::size_t aBytes);

  bufferevent* mStream;
  ConnectionGroup& mGroup;
  std::function<void(ClientConnection&)> mOnChange;
  ConnectionState mState = ConnectionState::Idle;
  TimePoint mSince;
  // Of the current request.
  std::size_t mReceivedBytes = 0;
  std::size_t mReceivedLines = 0;
};

} // namespace oriolevane::eventloop
