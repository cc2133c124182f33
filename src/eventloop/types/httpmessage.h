// HTTP requests and responses as plain values.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace oriolevane::eventloop {

enum class HttpMethod
{
  Get,
  Post,
  Put,
  Delete
};

// Header values by name.
using HttpHeaders = std::map<std::string, std::string, std::less<>>;

constexpr std::size_t kDefaultMaxResponseBytes = 16U << 20U;

// A request to send or a received one.
struct HttpRequest
{
  HttpMethod mMethod = HttpMethod::Get;
  // The request target as sent, including the query.
  std::string mTarget;
  // Host header of a received request, without the port. Empty when the header
  // is absent. Not used for requests that are sent.
  std::string mHost;
  // All headers to send, or for a received request only those that
  // HttpServerOptions::mExposedHeaders names.
  HttpHeaders mHeaders;
  // Names of the exposed headers that a received request has more than once.
  // mHeaders holds the value of the first.
  std::set<std::string, std::less<>> mRepeatedHeaders;
  std::string mBody;
  // The largest body of a response to a request that is sent, in bytes. Not
  // used for received requests.
  std::size_t mMaxResponseBytes = kDefaultMaxResponseBytes;
};

// A response to send or a received one.
struct HttpResponse
{
  int mStatus = 0;
  HttpHeaders mHeaders;
  std::string mBody;
};

// Percent-encodes all characters that are not unreserved in a URI (RFC 3986),
// for use in a path or a query.
std::string
EscapeForUri(const std::string& aText);

} // namespace oriolevane::eventloop
