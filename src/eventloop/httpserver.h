// An asynchronous HTTP/1.1 server on one address. All connections share the
// thread of the event loop.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "eventloop/connectiontable.h"
#include "eventloop/eventloop.h"
#include "eventloop/types/httpmessage.h"
#include "eventloop/types/socketaddress.h"

struct evhttp;
struct evhttp_connection;
struct evhttp_request;

namespace oriolevane::eventloop {

// Sends the response to one request, immediately or later. Further calls, and
// calls after the client has disconnected or the server is destroyed, do
// nothing.
using HttpReplyCallback = std::function<void(const HttpResponse&)>;
// Handles one request and calls the reply callback now or later.
using HttpHandler = std::function<void(HttpRequest, HttpReplyCallback)>;

// Options of an HttpServer. Sizes are in bytes.
struct HttpServerOptions
{
  SocketAddress mAddress;
  std::size_t mMaxHeaderBytes = 16384;
  std::size_t mMaxBodyBytes = 262144;
  // Time without traffic after which a connection is closed.
  std::chrono::seconds mIdleTimeout{ 60 };
  // When the server has more, it closes the oldest idle one, or else the new
  // one: see ConnectionTable::Accept().
  std::size_t mMaxConnections = 1000;
  // The connections of all servers of the process, which share its limits. By
  // default the server has a table and limits of its own.
  std::shared_ptr<ConnectionTable> mConnections = nullptr;
  // Names of the request headers that are passed to the handler.
  std::vector<std::string> mExposedHeaders;
};

// Serves requests with one handler.
class HttpServer
{
public:
  HttpServer(EventLoop& aLoop,
             HttpServerOptions aOptions,
             HttpHandler aHandler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  // Starts to listen. Returns InvalidArgument when the address is not IPv4, and
  // Unavailable when it cannot be bound.
  absl::Status Listen();
  // Closes each connection after its next response from now on.
  void CloseAfterResponses() { mClosing = true; }

private:
  static void OnRequest(evhttp_request* aRequest, void* aContext);
  static bufferevent* OnAccept(event_base* aBase, void* aContext);
  void OnConnectionClosed(evhttp_connection* aConnection);
  void Handle(evhttp_request* aRequest);
  void Send(evhttp_request* aRequest, const HttpResponse& aResponse);

  EventLoop& mLoop;
  HttpServerOptions mOptions;
  HttpHandler mHandler;
  std::shared_ptr<ConnectionTable> mConnections;
  ConnectionGroup mGroup;
  evhttp* mHttp = nullptr;
  // Keyed by a serial number, as a new request may reuse the address of a freed
  // one.
  std::map<std::uint64_t, evhttp_request*> mPending;
  std::uint64_t mLastSerial = 0;
  bool mClosing = false;
  // Set to false by the destructor, for reply callbacks that outlive the
  // server.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace oriolevane::eventloop
