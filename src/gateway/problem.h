// Problem details (RFC 9457): the body of every error.
#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace oriolevane::gateway {

struct Problem
{
  // HTTP status.
  int mStatus = 500;
  // The last part of the problem's type, e.g. "overloaded"; stable, for
  // programs.
  std::string mType;
  std::string mTitle;
  std::string mDetail;
  // "not_run", "not_known_yet" and so on, when the problem is about a request.
  std::string mOutcome;
  std::string mRequestId;
  // When another try may succeed.
  std::optional<std::chrono::milliseconds> mRetryAfter;
};

// The JSON body.
std::string
ProblemJson(const Problem& aProblem);

} // namespace oriolevane::gateway
