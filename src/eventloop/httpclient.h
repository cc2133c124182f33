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

struct evhttp_request;

namespace oriolevane::eventloop {

struct ReceiveBudget;

// The response, or DeadlineExceeded or Unavailable when there was none, or one
// that exceeds a limit. In that case the server may have processed the request,
// or may still process it.
using HttpOutcome = absl::StatusOr<HttpResponse>;

// Options of an HttpClient.
struct HttpClientOptions
{
  // Names of the response headers that are passed to the callback.
  std::vector<std::string> mExposedHeaders;
  // Maximum number of idle connections to one address that are kept for reuse.
  std::size_t mMaxIdlePerAddress = 4;
  // Maximum number of connections, in use and idle. A new one closes the one
  // that has been idle for longest; when none is idle, the request fails.
  std::size_t mMaxConnections = 2048;
  // The most bytes of the status line and headers of a response.
  std::size_t mMaxHeaderBytes = 65'536;
  // The most bytes of all responses together that have not arrived whole. The
  // request whose response has the most of them fails beyond that.
  std::size_t mMaxReceivedBytes = 24U << 20U;
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
  struct Connection;
  struct Exchange;
  using ConnectionPtr = std::unique_ptr<Connection>;

  // Returns nothing when there are too many connections.
  ConnectionPtr AcquireConnection(const SocketAddress& aAddress);
  bool CloseOldestIdle();
  void ReleaseConnection(const SocketAddress& aAddress,
                         ConnectionPtr aConnection);
  void DiscardConnection(ConnectionPtr aConnection);
  void FailLargestResponses();
  // Fails an exchange in flight. It is not reported by libevent any more.
  void Abandon(std::uint64_t aSerial, absl::Status aReason);
  void Finish(std::uint64_t aSerial, HttpOutcome aOutcome, bool aReusable);
  static void OnResponse(evhttp_request* aRequest, void* aContext);

  EventLoop& mLoop;
  HttpClientOptions mOptions;
  std::unique_ptr<ReceiveBudget> mBudget;
  std::size_t mConnections = 0;
  std::map<SocketAddress, std::vector<ConnectionPtr>> mIdle;
  std::map<std::uint64_t, std::unique_ptr<Exchange>> mExchanges;
  std::vector<ConnectionPtr> mDiscarded;
  std::unique_ptr<Timer> mDiscardTimer;
  std::unique_ptr<Timer> mBudgetTimer;
  std::uint64_t mLastSerial = 0;
};

} // namespace oriolevane::eventloop
