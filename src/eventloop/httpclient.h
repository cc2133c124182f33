// An asynchronous HTTP/1.1 client with persistent connections.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "eventloop/eventloop.h"
#include "eventloop/types/httpmessage.h"
#include "eventloop/types/socketaddress.h"

struct evhttp_connection;
struct evhttp_request;

namespace oriolevane::eventloop {

// The response, or DeadlineExceeded or Unavailable when there was none. In that
// case the server may have processed the request, or may still process it.
using HttpOutcome = absl::StatusOr<HttpResponse>;

// Options of an HttpClient.
struct HttpClientOptions
{
  // Names of the response headers that are passed to the callback.
  std::vector<std::string> mExposedHeaders;
  // Maximum number of idle connections to one address that are kept for reuse.
  std::size_t mMaxIdlePerAddress = 4;
};

// Sends requests, each on a connection of its own while it is in flight. Idle
// connections are reused.
class HttpClient
{
public:
  explicit HttpClient(EventLoop& aLoop, HttpClientOptions aOptions = {});
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  ~HttpClient();

  // Sends a request. The callback runs once, never before this function
  // returns. It does not run when the client is destroyed first.
  void Send(const SocketAddress& aAddress,
            const HttpRequest& aRequest,
            Duration aTimeout,
            std::function<void(HttpOutcome)> aDone);

private:
  struct Exchange;

  evhttp_connection* AcquireConnection(const SocketAddress& aAddress);
  void ReleaseConnection(const SocketAddress& aAddress,
                         evhttp_connection* aConnection);
  void DiscardConnection(evhttp_connection* aConnection);
  void OnTimeout(std::uint64_t aSerial);
  void Finish(std::uint64_t aSerial, HttpOutcome aOutcome, bool aReusable);
  static void OnResponse(evhttp_request* aRequest, void* aContext);

  EventLoop& mLoop;
  HttpClientOptions mOptions;
  std::map<SocketAddress, std::vector<evhttp_connection*>> mIdle;
  std::map<std::uint64_t, std::unique_ptr<Exchange>> mExchanges;
  std::vector<evhttp_connection*> mDiscarded;
  std::unique_ptr<Timer> mDiscardTimer;
  std::uint64_t mLastSerial = 0;
};

} // namespace oriolevane::eventloop
