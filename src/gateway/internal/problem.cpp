#include "gateway/problem.h"

#include <nlohmann/json.hpp>

namespace oriolevane::gateway {

using nlohmann::json;

std::string
ProblemJson(const Problem& aProblem)
{
  json body{ { "type", "urn:oriolevane:problem:" + aProblem.mType },
             { "title", aProblem.mTitle },
             { "status", aProblem.mStatus } };
  if (!aProblem.mDetail.empty()) {
    body["detail"] = aProblem.mDetail;
  }
  if (!aProblem.mOutcome.empty()) {
    body["outcome"] = aProblem.mOutcome;
  }
  if (!aProblem.mRequestId.empty()) {
    body["id"] = aProblem.mRequestId;
  }
  if (aProblem.mRetryAfter.has_value()) {
    body["retry_after_ms"] = aProblem.mRetryAfter->count();
  }
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace oriolevane::gateway
