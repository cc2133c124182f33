#include "eventloop/httpserver.h"

#include <algorithm>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>

#include "eventloop/internal/socketoptions.h"
#include "framework/log.h"

namespace oriolevane::eventloop {

namespace {

// A client that has not acknowledged sent data for this long is treated as
// gone.
constexpr std::chrono::seconds kTcpUserTimeout{ 10 };
// A connection may have sent this much more than the largest head or body: the
// library refuses a head only once it has read more than its limit.
constexpr std::size_t kSlackBytes = 65536;
// What the system keeps of a connection in each direction. It counts as memory
// of the process, and it holds what the server does not read.
constexpr int kSocketBufferBytes = 32768;

std::optional<HttpMethod>
MethodOf(evhttp_request* aRequest)
{
  switch (evhttp_request_get_command(aRequest)) {
    case EVHTTP_REQ_GET:
      return HttpMethod::Get;
    case EVHTTP_REQ_POST:
      return HttpMethod::Post;
    case EVHTTP_REQ_PUT:
      return HttpMethod::Put;
    case EVHTTP_REQ_DELETE:
      return HttpMethod::Delete;
    default:
      return std::nullopt;
  }
}

std::string
BodyOf(evhttp_request* aRequest)
{
  evbuffer* buffer = evhttp_request_get_input_buffer(aRequest);
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, body.data(), body.size());
  return body;
}

std::string
HostOf(evhttp_request* aRequest)
{
  const char* header =
    evhttp_find_header(evhttp_request_get_input_headers(aRequest), "Host");
  const std::string host = header == nullptr ? "" : header;
  return host.substr(0, host.find(':'));
}

// Moves the headers into the request, so that a large one is held only once.
void
TakeExposedHeaders(evhttp_request* aRequest,
                   const std::vector<std::string>& aNames,
                   HttpRequest& aResult)
{
  evkeyvalq* headers = evhttp_request_get_input_headers(aRequest);
  for (const evkeyval* header = headers->tqh_first; header != nullptr;
       header = header->next.tqe_next) {
    for (const std::string& name : aNames) {
      const bool matches =
        evutil_ascii_strcasecmp(header->key, name.c_str()) == 0;
      if (matches && !aResult.mHeaders.emplace(name, header->value).second) {
        aResult.mRepeatedHeaders.insert(name);
      }
    }
  }
  for (const std::string& name : aNames) {
    while (evhttp_remove_header(headers, name.c_str()) == 0) {
    }
  }
}

} // namespace

HttpServer::HttpServer(EventLoop& aLoop,
                       HttpServerOptions aOptions,
                       HttpHandler aHandler)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
  , mHandler(std::move(aHandler))
  , mConnections(mOptions.mConnections != nullptr
                   ? mOptions.mConnections
                   : std::make_shared<ConnectionTable>(aLoop))
{
  mGroup.mMaxConnections = mOptions.mMaxConnections;
  mGroup.mMaxRequestBytes =
    std::max(mOptions.mMaxHeaderBytes, mOptions.mMaxBodyBytes) + kSlackBytes;
  mGroup.mOnClosed = [this](evhttp_connection* aConnection) {
    OnConnectionClosed(aConnection);
  };
}

HttpServer::~HttpServer()
{
  *mAlive = false;
  if (mHttp != nullptr) {
    evhttp_free(mHttp);
  }
  mConnections->Forget(mGroup);
}

absl::Status
HttpServer::Listen()
{
  sockaddr_in address{};
  if (!ToSockaddr(mOptions.mAddress, address)) {
    return absl::InvalidArgumentError("not an address: " +
                                      mOptions.mAddress.ToText());
  }
  constexpr int kBacklog = 1024;
  evconnlistener* listener =
    evconnlistener_new_bind(mLoop.Base(),
                            nullptr,
                            nullptr,
                            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                            kBacklog,
                            reinterpret_cast<sockaddr*>(&address),
                            sizeof(address));
  if (listener == nullptr) {
    return absl::UnavailableError("cannot listen on " +
                                  mOptions.mAddress.ToText());
  }
  SetBufferSizes(evconnlistener_get_fd(listener), kSocketBufferBytes);
  mGroup.mListener = listener;
  mConnections->Register(mGroup);
  mHttp = evhttp_new(mLoop.Base());
  evhttp_set_allowed_methods(mHttp,
                             EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                               EVHTTP_REQ_DELETE);
  evhttp_set_max_headers_size(
    mHttp, static_cast<ev_ssize_t>(mOptions.mMaxHeaderBytes));
  evhttp_set_max_body_size(mHttp,
                           static_cast<ev_ssize_t>(mOptions.mMaxBodyBytes));
  evhttp_set_timeout(mHttp, static_cast<int>(mOptions.mIdleTimeout.count()));
  evhttp_set_bevcb(mHttp, &HttpServer::OnAccept, this);
  evhttp_set_gencb(mHttp, &HttpServer::OnRequest, this);
  evhttp_bind_listener(mHttp, listener);
  return absl::OkStatus();
}

void
HttpServer::OnRequest(evhttp_request* aRequest, void* aContext)
{
  static_cast<HttpServer*>(aContext)->Handle(aRequest);
}

bufferevent*
HttpServer::OnAccept(event_base*, void* aContext)
{
  auto* server = static_cast<HttpServer*>(aContext);
  return server->mConnections->Accept(server->mGroup);
}

void
HttpServer::OnConnectionClosed(evhttp_connection* aConnection)
{
  std::erase_if(mPending, [aConnection](const auto& aEntry) {
    return evhttp_request_get_connection(aEntry.second) == aConnection;
  });
}

void
HttpServer::Handle(evhttp_request* aRequest)
{
  evhttp_connection* connection = evhttp_request_get_connection(aRequest);
  const int socket =
    bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  SetStreamOptions(socket, kTcpUserTimeout);
  const std::optional<HttpMethod> method = MethodOf(aRequest);
  const std::uint64_t serial = ++mLastSerial;
  mPending.emplace(serial, aRequest);
  HttpReplyCallback reply =
    [this, serial, alive = mAlive](const HttpResponse& aResponse) {
      if (!*alive) {
        return;
      }
      const auto entry = mPending.find(serial);
      if (entry == mPending.end()) {
        return;
      }
      evhttp_request* request = entry->second;
      mPending.erase(entry);
      Send(request, aResponse);
    };
  if (!mConnections->BeginRequest(connection)) {
    reply({ .mStatus = 503, .mHeaders = {}, .mBody = {} });
    return;
  }
  if (!method.has_value()) {
    reply({ .mStatus = 405, .mHeaders = {}, .mBody = {} });
    return;
  }
  HttpRequest request{ .mMethod = *method,
                       .mTarget = evhttp_request_get_uri(aRequest),
                       .mHost = HostOf(aRequest),
                       .mHeaders = {},
                       .mRepeatedHeaders = {},
                       .mBody = BodyOf(aRequest) };
  TakeExposedHeaders(aRequest, mOptions.mExposedHeaders, request);
  mHandler(std::move(request), std::move(reply));
}

void
HttpServer::Send(evhttp_request* aRequest, const HttpResponse& aResponse)
{
  evkeyvalq* headers = evhttp_request_get_output_headers(aRequest);
  for (const auto& [name, value] : aResponse.mHeaders) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  if (!aResponse.mBody.empty()) {
    evhttp_add_header(headers, "Content-Type", "application/json");
  }
  if (mClosing) {
    evhttp_add_header(headers, "Connection", "close");
  }
  // Without a connection, the client has gone, and the library frees the
  // request.
  evhttp_connection* connection = evhttp_request_get_connection(aRequest);
  if (connection != nullptr) {
    mConnections->BeginResponse(connection, aRequest);
  }
  evbuffer* body = evbuffer_new();
  evbuffer_add(body, aResponse.mBody.data(), aResponse.mBody.size());
  evhttp_send_reply(aRequest, aResponse.mStatus, nullptr, body);
  evbuffer_free(body);
}

} // namespace oriolevane::eventloop
