// A small HTTP server on libevent and a blocking HTTP client, for the stand-ins
// of this folder.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

struct event_base;
struct evhttp;
struct evhttp_connection;
struct evhttp_request;

namespace review {

using Millis = std::chrono::milliseconds;

// Milliseconds since the program started, on the steady clock.
Millis
Now();
// Unix time in milliseconds.
Millis
UnixNow();

struct Request
{
  std::string mMethod;
  // Without the query.
  std::string mPath;
  std::map<std::string, std::string> mQuery;
  // The boot that the request is meant for; empty when it names none.
  std::string mTargetInstance;
  std::string mBody;
};

struct Response
{
  // 0 when there was no answer.
  int mStatus = 0;
  std::string mBody;
};

using Reply = std::function<void(const Response&)>;

class Server
{
public:
  using Handler = std::function<void(const Request&, const Reply&)>;

  // Listens until it is destroyed, which closes all connections.
  Server(event_base* aBase,
         const std::string& aIp,
         std::uint16_t aPort,
         Handler aHandler);
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  ~Server();

private:
  static void OnRequest(evhttp_request* aRequest, void* aContext);
  static void OnClosed(evhttp_connection* aConnection, void* aContext);

  Handler mHandler;
  evhttp* mHttp;
  std::uint64_t mLastSerial = 0;
  // Requests without an answer. Shared, as answers may come later than the end
  // of the server.
  std::shared_ptr<std::map<std::uint64_t, evhttp_request*>> mPending;
};

// Sends one request over a channel of its own and waits for the answer.
Response
Call(const std::string& aIp,
     std::uint16_t aPort,
     const std::string& aMethod,
     const std::string& aHost,
     const std::string& aPath,
     const std::string& aBody,
     Millis aTimeout);

} // namespace review
