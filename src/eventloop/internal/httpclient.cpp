#include "eventloop/httpclient.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "eventloop/internal/socketdrain.h"
#include "eventloop/internal/socketoptions.h"
#include "framework/log.h"

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

// Returns why libevent refuses a response, and nothing for other errors.
std::string
ReasonOf(evhttp_request_error aError)
{
  switch (aError) {
    case EVREQ_HTTP_DATA_TOO_LONG:
      return "the body is too long";
    case EVREQ_HTTP_INVALID_HEADER:
      return "the headers are not valid or too long";
    default:
      return {};
  }
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

struct HttpClient::Connection
{
  Connection(EventLoop& aLoop,
             const SocketAddress& aAddress,
             ReceiveBudget& aBudget)
    : mHandle(evhttp_connection_base_new(aLoop.Base(),
                                         nullptr,
                                         aAddress.mHost.c_str(),
                                         aAddress.mPort))
    , mInput(evhttp_connection_get_bufferevent(mHandle), aBudget)
  {
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() { evhttp_connection_free(mHandle); }

  evhttp_connection* mHandle;
  BudgetedInput mInput;
  // Increases with each use of a connection.
  std::uint64_t mLastUse = 0;
};

struct HttpClient::Exchange
{
  HttpClient* mClient = nullptr;
  std::uint64_t mSerial = 0;
  SocketAddress mAddress;
  // Null when there were too many connections.
  ConnectionPtr mConnection;
  // Null once libevent no longer uses the request.
  evhttp_request* mRequest = nullptr;
  // Why the response was refused; empty when it was not.
  std::string mRefusal;
  std::function<void(HttpOutcome)> mDone;
  std::unique_ptr<Timer> mTimeout;
};

HttpClient::HttpClient(EventLoop& aLoop, HttpClientOptions aOptions)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
  , mBudget(std::make_unique<ReceiveBudget>())
{
  mDiscardTimer = mLoop.MakeTimer([this] {
    mConnections -= mDiscarded.size();
    std::exchange(mDiscarded, {}).clear();
  });
  mBudgetTimer = mLoop.MakeTimer([this] { FailLargestResponses(); });
  mBudget->mMaxBytes = mOptions.mMaxReceivedBytes;
  // Deferred, as a connection cannot be closed while it reads.
  mBudget->mOnExceeded = [this] {
    mBudgetTimer->StartWithin(Duration::zero());
  };
}

HttpClient::~HttpClient() = default;

HttpClient::ConnectionPtr
HttpClient::AcquireConnection(const SocketAddress& aAddress)
{
  const auto idle = mIdle.find(aAddress);
  if (idle != mIdle.end() && !idle->second.empty()) {
    ConnectionPtr connection = std::move(idle->second.back());
    idle->second.pop_back();
    return connection;
  }
  if (mConnections - mDiscarded.size() >= mOptions.mMaxConnections &&
      !CloseOldestIdle()) {
    return nullptr;
  }
  auto connection = std::make_unique<Connection>(mLoop, aAddress, *mBudget);
  ++mConnections;
  evhttp_connection_set_family(connection->mHandle, AF_INET);
  // Only a fallback: the timer of the exchange enforces the caller's timeout.
  evhttp_connection_set_timeout(connection->mHandle, 120);
  evhttp_connection_set_max_headers_size(
    connection->mHandle, static_cast<ev_ssize_t>(mOptions.mMaxHeaderBytes));
  return connection;
}

// Returns false when no connection is idle.
bool
HttpClient::CloseOldestIdle()
{
  std::vector<ConnectionPtr>* oldest = nullptr;
  for (auto& [address, connections] : mIdle) {
    if (!connections.empty() &&
        (oldest == nullptr ||
         connections.front()->mLastUse < oldest->front()->mLastUse)) {
      oldest = &connections;
    }
  }
  if (oldest == nullptr) {
    return false;
  }
  DiscardConnection(std::move(oldest->front()));
  oldest->erase(oldest->begin());
  std::erase_if(mIdle,
                [](const auto& aEntry) { return aEntry.second.empty(); });
  return true;
}

void
HttpClient::ReleaseConnection(const SocketAddress& aAddress,
                              ConnectionPtr aConnection)
{
  std::vector<ConnectionPtr>& idle = mIdle[aAddress];
  if (idle.size() >= mOptions.mMaxIdlePerAddress) {
    DiscardConnection(std::move(aConnection));
    return;
  }
  idle.push_back(std::move(aConnection));
}

// Defers the deletion, as a connection cannot be freed inside its own callback.
void
HttpClient::DiscardConnection(ConnectionPtr aConnection)
{
  mDiscarded.push_back(std::move(aConnection));
  mDiscardTimer->StartWithin(Duration::zero());
}

void
HttpClient::Send(const SocketAddress& aAddress,
                 const HttpRequest& aRequest,
                 Duration aTimeout,
                 std::function<void(HttpOutcome)> aDone)
{
  auto owned = std::make_unique<Exchange>();
  Exchange* exchange = owned.get();
  const std::uint64_t serial = ++mLastSerial;
  exchange->mClient = this;
  exchange->mSerial = serial;
  exchange->mAddress = aAddress;
  exchange->mConnection = AcquireConnection(aAddress);
  exchange->mDone = std::move(aDone);
  exchange->mTimeout = mLoop.MakeTimer([this, serial] {
    Abandon(serial, absl::DeadlineExceededError("no response in time"));
  });
  exchange->mTimeout->StartAfter(aTimeout);
  mExchanges.emplace(serial, std::move(owned));
  if (exchange->mConnection == nullptr) {
    LogWarning("http_request_refused")
      .With("address", aAddress.ToText())
      .With("reason", "too many connections")
      .With("connections", mConnections);
    mLoop.Post([this, serial] {
      Finish(serial, absl::UnavailableError("too many connections"), false);
    });
    return;
  }
  evhttp_connection* connection = exchange->mConnection->mHandle;
  exchange->mConnection->mLastUse = serial;
  evhttp_connection_set_max_body_size(
    connection, static_cast<ev_ssize_t>(aRequest.mMaxResponseBytes));
  // A chunk's length has no limit of its own.
  bufferevent_setwatermark(evhttp_connection_get_bufferevent(connection),
                           EV_READ,
                           0,
                           mOptions.mMaxHeaderBytes +
                             aRequest.mMaxResponseBytes);

  evhttp_request* request =
    evhttp_request_new(&HttpClient::OnResponse, exchange);
  evhttp_request_set_error_cb(
    request, [](evhttp_request_error aError, void* aContext) {
      static_cast<Exchange*>(aContext)->mRefusal = ReasonOf(aError);
    });
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
  if (evhttp_make_request(connection,
                          request,
                          ToCommand(aRequest.mMethod),
                          aRequest.mTarget.c_str()) != 0) {
    exchange->mRequest = nullptr;
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
HttpClient::Abandon(std::uint64_t aSerial, absl::Status aReason)
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
  Finish(aSerial, std::move(aReason), false);
}

void
HttpClient::FailLargestResponses()
{
  const auto received = [](const auto& aEntry) {
    const ConnectionPtr& connection = aEntry.second->mConnection;
    return connection == nullptr ? 0 : connection->mInput.Bytes();
  };
  while (mBudget->mBytes > mBudget->mMaxBytes) {
    const auto largest =
      std::max_element(mExchanges.begin(),
                       mExchanges.end(),
                       [&](const auto& aLeft, const auto& aRight) {
                         return received(aLeft) < received(aRight);
                       });
    if (largest == mExchanges.end() || received(*largest) == 0) {
      return;
    }
    LogWarning("http_response_refused")
      .With("address", largest->second->mAddress.ToText())
      .With("reason", "all responses together are too long")
      .With("bytes", received(*largest))
      .With("all_bytes", mBudget->mBytes);
    Abandon(largest->first, absl::UnavailableError("responses are too long"));
  }
}

void
HttpClient::OnResponse(evhttp_request* aRequest, void* aContext)
{
  auto* exchange = static_cast<Exchange*>(aContext);
  HttpClient* client = exchange->mClient;
  exchange->mRequest = nullptr;
  const bool answered =
    aRequest != nullptr && evhttp_request_get_response_code(aRequest) != 0;
  if (!exchange->mRefusal.empty()) {
    LogWarning("http_response_refused")
      .With("address", exchange->mAddress.ToText())
      .With("reason", exchange->mRefusal);
    client->Finish(
      exchange->mSerial, absl::UnavailableError(exchange->mRefusal), false);
    return;
  }
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
  if (exchange->mConnection == nullptr) {
    exchange->mDone(std::move(aOutcome));
    return;
  }
  exchange->mConnection->mInput.Reset();
  if (aReusable) {
    ReleaseConnection(exchange->mAddress, std::move(exchange->mConnection));
  } else {
    DiscardConnection(std::move(exchange->mConnection));
  }
  exchange->mDone(std::move(aOutcome));
}

} // namespace oriolevane::eventloop
