#include "http.h"

#include <algorithm>
#include <stdexcept>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

std::string
MethodOf(evhttp_request* aRequest)
{
  switch (evhttp_request_get_command(aRequest)) {
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    default:
      return "GET";
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

std::map<std::string, std::string>
QueryOf(const std::string& aUri)
{
  std::map<std::string, std::string> result;
  evkeyvalq query{};
  if (evhttp_parse_query(aUri.c_str(), &query) == 0) {
    for (const evkeyval* entry = query.tqh_first; entry != nullptr;
         entry = entry->next.tqe_next) {
      result[entry->key] = entry->value;
    }
  }
  evhttp_clear_headers(&query);
  return result;
}

void
Send(evhttp_request* aRequest, const Response& aResponse)
{
  evbuffer* body = evbuffer_new();
  evbuffer_add(body, aResponse.mBody.data(), aResponse.mBody.size());
  evhttp_add_header(evhttp_request_get_output_headers(aRequest),
                    "Content-Type",
                    "application/json");
  evhttp_send_reply(aRequest, aResponse.mStatus, nullptr, body);
  evbuffer_free(body);
}

// Waits until the socket is ready. Returns false when the time is over.
bool
Await(int aSocket, short aEvents, Millis aDeadline)
{
  pollfd descriptor{ aSocket, aEvents, 0 };
  const auto left =
    std::max<Millis::rep>((aDeadline - Now()).count(), Millis::rep{ 0 });
  return poll(&descriptor, 1, static_cast<int>(left)) == 1;
}

// Reads to the end of the channel.
std::string
ReadAll(int aSocket, Millis aDeadline)
{
  std::string text;
  std::string buffer(65536, '\0');
  while (Await(aSocket, POLLIN, aDeadline)) {
    const ssize_t count = recv(aSocket, buffer.data(), buffer.size(), 0);
    if (count <= 0) {
      return text;
    }
    text.append(buffer, 0, static_cast<std::size_t>(count));
  }
  return {};
}

} // namespace

Millis
Now()
{
  static const auto kStart = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() -
                                            kStart);
}

Millis
UnixNow()
{
  return std::chrono::duration_cast<Millis>(
    std::chrono::system_clock::now().time_since_epoch());
}

Server::Server(event_base* aBase,
               const std::string& aIp,
               std::uint16_t aPort,
               Handler aHandler)
  : mHandler(std::move(aHandler))
  , mHttp(evhttp_new(aBase))
  , mPending(std::make_shared<std::map<std::uint64_t, evhttp_request*>>())
{
  evhttp_set_allowed_methods(
    mHttp, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_DELETE);
  evhttp_set_gencb(mHttp, &Server::OnRequest, this);
  if (evhttp_bind_socket(mHttp, aIp.c_str(), aPort) != 0) {
    throw std::runtime_error("cannot listen on " + aIp);
  }
}

Server::~Server()
{
  mPending->clear();
  evhttp_free(mHttp);
}

void
Server::OnClosed(evhttp_connection* aConnection, void* aContext)
{
  auto* self = static_cast<Server*>(aContext);
  std::erase_if(*self->mPending, [aConnection](const auto& aEntry) {
    return evhttp_request_get_connection(aEntry.second) == aConnection;
  });
}

void
Server::OnRequest(evhttp_request* aRequest, void* aContext)
{
  auto* self = static_cast<Server*>(aContext);
  evhttp_connection_set_closecb(
    evhttp_request_get_connection(aRequest), &Server::OnClosed, self);
  const std::string uri = evhttp_request_get_uri(aRequest);
  const char* target = evhttp_find_header(
    evhttp_request_get_input_headers(aRequest), "X-Oriolevane-Target-Instance");
  const Request request{ .mMethod = MethodOf(aRequest),
                         .mPath = uri.substr(0, uri.find('?')),
                         .mQuery = QueryOf(uri),
                         .mTargetInstance = target == nullptr ? "" : target,
                         .mBody = BodyOf(aRequest) };
  const std::uint64_t serial = ++self->mLastSerial;
  self->mPending->emplace(serial, aRequest);
  self->mHandler(request,
                 [serial, pending = self->mPending](const Response& aResponse) {
                   const auto found = pending->find(serial);
                   if (found != pending->end()) {
                     evhttp_request* open = found->second;
                     pending->erase(found);
                     Send(open, aResponse);
                   }
                 });
}

Response
Call(const std::string& aIp,
     std::uint16_t aPort,
     const std::string& aMethod,
     const std::string& aHost,
     const std::string& aPath,
     const std::string& aBody,
     Millis aTimeout)
{
  const Millis deadline = Now() + aTimeout;
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  std::string text;
  if (connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
      0) {
    const std::string request =
      aMethod + " " + aPath + " HTTP/1.1\r\nHost: " + aHost +
      "\r\nContent-Type: application/json\r\nConnection: close\r\n" +
      "X-Oriolevane-Timeout-Ms: " + std::to_string(aTimeout.count()) +
      "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
      aBody;
    if (send(socket, request.data(), request.size(), MSG_NOSIGNAL) ==
        static_cast<ssize_t>(request.size())) {
      text = ReadAll(socket, deadline);
    }
  }
  close(socket);
  const std::size_t body = text.find("\r\n\r\n");
  constexpr std::size_t kStatusAt = 9;
  if (body == std::string::npos || text.size() < kStatusAt) {
    return {};
  }
  return { .mStatus = std::atoi(text.c_str() + kStatusAt),
           .mBody = text.substr(body + 4) };
}

} // namespace review
