#include "eventloop/httpclient.h"

#include <cstdlib>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "eventloop/internal/socketdrain.h"
#include "eventloop/internal/socketoptions.h"

namespace oriolevane::eventloop {

namespace {

// A peer that has not acknowledged sent data for this long is treated as gone.
constexpr std::chrono::seconds kTcpUserTimeout{ 5 };

evhttp_cmd_type
ToCommand(HttpMethod aMethod)
{
  switch (aMethod) {
    case HttpMethod::Get:
      return EVHTTP_REQ_GET;
    case HttpMethod::Post:
      return EVHTTP_REQ_POST;
    case HttpMethod::Put:
      return EVHTTP_REQ_PUT;
    case HttpMethod::Delete:
      return EVHTTP_REQ_DELETE;
  }
  return EVHTTP_REQ_GET;
}

HttpResponse
ToResponse(evhttp_request* aRequest, const std::vector<std::string>& aKept)
{
  HttpResponse response;
  response.mStatus = evhttp_request_get_response_code(aRequest);
  evbuffer* buffer = evhttp_request_get_input_buffer(aRequest);
  response.mBody.resize(evbuffer_get_length(buffer));
  evbuffer_remove(buffer, response.mBody.data(), response.mBody.size());
  for (const std::string& name : aKept) {
    const char* value = evhttp_find_header(
      evhttp_request_get_input_headers(aRequest), name.c_str());
    if (value != nullptr) {
      response.mHeaders.emplace(name, value);
    }
  }
  return response;
}

} // namespace

std::string
EscapeForUri(const std::string& aText)
{
  char* escaped =
    evhttp_uriencode(aText.data(), static_cast<ev_ssize_t>(aText.size()), 0);
  std::string result(escaped);
  std::free(escaped);
  return result;
}

struct HttpClient::Exchange
{
  HttpClient* mClient = nullptr;
  std::uint64_t mSerial = 0;
  SocketAddress mAddress;
  evhttp_connection* mConnection = nullptr;
  // Null once libevent no longer uses the request.
  evhttp_request* mRequest = nullptr;
  std::function<void(HttpOutcome)> mDone;
  std::unique_ptr<Timer> mTimeout;
};

HttpClient::HttpClient(EventLoop& aLoop, HttpClientOptions aOptions)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
{
  mDiscardTimer = mLoop.MakeTimer([this] {
    for (evhttp_connection* connection : std::exchange(mDiscarded, {})) {
      evhttp_connection_free(connection);
    }
  });
}

HttpClient::~HttpClient()
{
  for (auto& [address, connections] : mIdle) {
    for (evhttp_connection* connection : connections) {
      evhttp_connection_free(connection);
    }
  }
  for (auto& [serial, exchange] : mExchanges) {
    evhttp_connection_free(exchange->mConnection);
  }
  for (evhttp_connection* connection : mDiscarded) {
    evhttp_connection_free(connection);
  }
}

evhttp_connection*
HttpClient::AcquireConnection(const SocketAddress& aAddress)
{
  const auto idle = mIdle.find(aAddress);
  if (idle != mIdle.end() && !idle->second.empty()) {
    evhttp_connection* connection = idle->second.back();
    idle->second.pop_back();
    return connection;
  }
  evhttp_connection* connection = evhttp_connection_base_new(
    mLoop.Base(), nullptr, aAddress.mHost.c_str(), aAddress.mPort);
  evhttp_connection_set_family(connection, AF_INET);
  // Only a fallback: the timer of the exchange enforces the caller's timeout.
  evhttp_connection_set_timeout(connection, 120);
  LiftTransferLimits(evhttp_connection_get_bufferevent(connection));
  return connection;
}

void
HttpClient::ReleaseConnection(const SocketAddress& aAddress,
                              evhttp_connection* aConnection)
{
  std::vector<evhttp_connection*>& idle = mIdle[aAddress];
  if (idle.size() >= mOptions.mMaxIdlePerAddress) {
    DiscardConnection(aConnection);
    return;
  }
  idle.push_back(aConnection);
}

// Defers the deletion, as a connection cannot be freed inside its own callback.
void
HttpClient::DiscardConnection(evhttp_connection* aConnection)
{
  mDiscarded.push_back(aConnection);
  mDiscardTimer->StartWithin(Duration::zero());
}

void
HttpClient::Send(const SocketAddress& aAddress,
                 const HttpRequest& aRequest,
                 Duration aTimeout,
                 std::function<void(HttpOutcome)> aDone)
{
  auto exchange = std::make_unique<Exchange>();
  exchange->mClient = this;
  exchange->mSerial = ++mLastSerial;
  exchange->mAddress = aAddress;
  exchange->mConnection = AcquireConnection(aAddress);
  exchange->mDone = std::move(aDone);
  exchange->mTimeout =
    mLoop.MakeTimer([this, serial = exchange->mSerial] { OnTimeout(serial); });
  exchange->mTimeout->StartAfter(aTimeout);

  evhttp_request* request =
    evhttp_request_new(&HttpClient::OnResponse, exchange.get());
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  if (!aRequest.mHeaders.contains("Host")) {
    evhttp_add_header(headers, "Host", aAddress.ToText().c_str());
  }
  for (const auto& [name, value] : aRequest.mHeaders) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  if (!aRequest.mBody.empty()) {
    evbuffer_add(evhttp_request_get_output_buffer(request),
                 aRequest.mBody.data(),
                 aRequest.mBody.size());
  }
  exchange->mRequest = request;
  evhttp_connection* connection = exchange->mConnection;
  const std::uint64_t serial = exchange->mSerial;
  mExchanges.emplace(serial, std::move(exchange));
  if (evhttp_make_request(connection,
                          request,
                          ToCommand(aRequest.mMethod),
                          aRequest.mTarget.c_str()) != 0) {
    mExchanges.at(serial)->mRequest = nullptr;
    mLoop.Post([this, serial] {
      Finish(serial, absl::UnavailableError("cannot connect"), false);
    });
    return;
  }
  const int socket =
    bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  if (socket >= 0) {
    SetStreamOptions(socket, kTcpUserTimeout);
  }
}

void
HttpClient::OnTimeout(std::uint64_t aSerial)
{
  const auto entry = mExchanges.find(aSerial);
  if (entry == mExchanges.end()) {
    return;
  }
  // Cancelling ensures that libevent does not use the exchange any more, even
  // if the response has already arrived.
  if (evhttp_request* request = std::exchange(entry->second->mRequest, nullptr);
      request != nullptr) {
    evhttp_cancel_request(request);
  }
  Finish(aSerial, absl::DeadlineExceededError("no response in time"), false);
}

void
HttpClient::OnResponse(evhttp_request* aRequest, void* aContext)
{
  auto* exchange = static_cast<Exchange*>(aContext);
  HttpClient* client = exchange->mClient;
  exchange->mRequest = nullptr;
  const bool answered =
    aRequest != nullptr && evhttp_request_get_response_code(aRequest) != 0;
  if (!answered) {
    client->Finish(
      exchange->mSerial, absl::UnavailableError("connection failed"), false);
    return;
  }
  const char* keep = evhttp_find_header(
    evhttp_request_get_input_headers(aRequest), "Connection");
  const bool closes = keep != nullptr && std::string_view(keep) == "close";
  client->Finish(exchange->mSerial,
                 ToResponse(aRequest, client->mOptions.mExposedHeaders),
                 !closes);
}

void
HttpClient::Finish(std::uint64_t aSerial, HttpOutcome aOutcome, bool aReusable)
{
  const auto entry = mExchanges.find(aSerial);
  if (entry == mExchanges.end()) {
    return;
  }
  const std::unique_ptr<Exchange> exchange = std::move(entry->second);
  mExchanges.erase(entry);
  exchange->mTimeout->Cancel();
  if (aReusable) {
    ReleaseConnection(exchange->mAddress, exchange->mConnection);
  } else {
    DiscardConnection(exchange->mConnection);
  }
  exchange->mDone(std::move(aOutcome));
}

} // namespace oriolevane::eventloop
