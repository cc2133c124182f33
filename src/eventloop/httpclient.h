// Sends HTTP/1.1 requests over kept connections.
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

// DeadlineExceeded or Unavailable when there was no response: the request may
// have been carried out, or may be carried out later.
using HttpOutcome = absl::StatusOr<HttpResponse>;

struct HttpClientOptions
{
  // Names of the headers that a response carries to its callback.
  std::vector<std::string> mKeptHeaders;
  // Connections to one address that are kept for later requests.
  std::size_t mMostIdlePerAddress = 4;
};

class HttpClient
{
public:
  explicit HttpClient(EventLoop& aLoop, HttpClientOptions aOptions = {});
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  ~HttpClient();

  // The callback runs once, never before this returns.
  void Send(const SocketAddress& aAddress,
            const HttpRequest& aRequest,
            Duration aTimeout,
            std::function<void(HttpOutcome)> aDone);
  // Closes the kept connections to an address.
  void Forget(const SocketAddress& aAddress);

private:
  struct Exchange;

  evhttp_connection* TakeConnection(const SocketAddress& aAddress);
  void KeepConnection(const SocketAddress& aAddress,
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
