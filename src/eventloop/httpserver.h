// Serves HTTP/1.1 on one address without a thread a connection.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "eventloop/eventloop.h"
#include "eventloop/types/httpmessage.h"
#include "eventloop/types/socketaddress.h"

struct evhttp;
struct evhttp_connection;
struct evhttp_request;

namespace oriolevane::eventloop {

// Answers one request, at once or later. Calls after the first, and calls after
// the caller has gone, do nothing.
using HttpReply = std::function<void(const HttpResponse&)>;
using HttpHandler = std::function<void(HttpRequest, HttpReply)>;

struct HttpServerOptions
{
  SocketAddress mAddress;
  std::size_t mMostHeaderBytes = 16384;
  std::size_t mMostBodyBytes = 262144;
  // A connection without traffic for so long is closed.
  std::chrono::seconds mIdleLimit{ 60 };
  // Names of the headers that a request carries to the handler.
  std::vector<std::string> mKeptHeaders;
};

class HttpServer
{
public:
  HttpServer(EventLoop& aLoop,
             HttpServerOptions aOptions,
             HttpHandler aHandler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  // Unavailable when the address cannot be bound.
  absl::Status Listen();
  // From now on each connection is closed after its next response.
  void CloseAfterResponses() { mClosing = true; }
  // Requests that have been read and not answered.
  std::size_t PendingRequests() const { return mPending.size(); }

private:
  static void OnRequest(evhttp_request* aRequest, void* aContext);
  static void OnConnectionClosed(evhttp_connection* aConnection,
                                 void* aContext);
  void Handle(evhttp_request* aRequest);
  void Send(evhttp_request* aRequest, const HttpResponse& aResponse);

  EventLoop& mLoop;
  HttpServerOptions mOptions;
  HttpHandler mHandler;
  evhttp* mHttp = nullptr;
  // By the serial of each, as memory of a freed request may be used again.
  std::map<std::uint64_t, evhttp_request*> mPending;
  std::uint64_t mLastSerial = 0;
  bool mClosing = false;
  // Lets replies that outlive the server find out.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace oriolevane::eventloop
