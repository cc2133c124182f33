// Requests and responses as plain values.
#pragma once

#include <map>
#include <optional>
#include <string>

namespace oriolevane::eventloop {

enum class HttpMethod
{
  Get,
  Post,
  Put,
  Delete
};

using HttpHeaders = std::map<std::string, std::string, std::less<>>;

struct HttpRequest
{
  HttpMethod mMethod = HttpMethod::Get;
  // As sent, with the query.
  std::string mTarget;
  // Of a received request without its port; empty when absent.
  std::string mHost;
  // To send; of a received request only those that the server was told to keep.
  HttpHeaders mHeaders;
  std::string mBody;
};

struct HttpResponse
{
  int mStatus = 0;
  HttpHeaders mHeaders;
  std::string mBody;
};

// Text as part of a target or a query, with all but plain characters escaped.
std::string
EscapeForUri(const std::string& aText);

} // namespace oriolevane::eventloop
