// A small HTTP client for the stories: one connection a call, so that no test
// depends on another's connection.
#pragma once

#include <chrono>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

namespace oriolevane::integration {

struct HttpResult
{
  // Zero when there was no response.
  int mStatus = 0;
  std::string mBody;
  std::map<std::string, std::string> mHeaders;

  // The body as JSON; null when it is none.
  nlohmann::json Json() const;
};

struct HttpAsk
{
  std::string mMethod = "GET";
  std::string mAddress;
  std::string mPath;
  std::string mBody;
  std::map<std::string, std::string> mHeaders;
  std::chrono::milliseconds mTimeout{ 20'000 };
};

HttpResult
Ask(const HttpAsk& aAsk);

} // namespace oriolevane::integration
