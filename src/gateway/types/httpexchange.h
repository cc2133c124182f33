// One HTTP request and its response, free of any server library.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oriolevane::gateway {

struct HttpCall
{
  std::string mMethod;
  // Decoded parts of the path, e.g. {"v1", "requests", "k12"}.
  std::vector<std::string> mPath;
  std::map<std::string, std::string> mQuery;
  std::string mBody;
  // Headers that the interface reads; empty when absent.
  std::string mIdempotencyKey;
  std::string mIfMatch;
  std::string mAuthor;
};

struct HttpAnswer
{
  int mStatus = 200;
  std::string mContentType = "application/json";
  std::string mBody;
  // Sent as Retry-After in whole seconds, rounded up.
  std::optional<std::chrono::milliseconds> mRetryAfter;
  std::string mLocation;
  std::string mETag;
  std::string mAllow;
};

} // namespace oriolevane::gateway
