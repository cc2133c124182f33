#include "gateway/internal/statusanswer.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "gateway/problem.h"
#include "gateway/router.h"
#include "gateway/statusjson.h"

namespace oriolevane::gateway {

using nlohmann::json;
using protocol::Outcome;
using protocol::RefusalReason;

namespace {

// Status of a refused submission: 4xx when the same request would be refused
// again, 429 and 503 when it may pass later.
int
RefusalStatus(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::Overloaded:
    case RefusalReason::QuotaExceeded:
      return 429;
    case RefusalReason::KeyReused:
      return 409;
    case RefusalReason::NeverRunnable:
    case RefusalReason::UnknownWorkload:
    case RefusalReason::UnknownTeam:
    case RefusalReason::DeadlineUnreachable:
    case RefusalReason::Invalid:
      return 422;
    case RefusalReason::DeadlinePassed:
      return 504;
    case RefusalReason::Cancelled:
      return 409;
    default:
      return 503;
  }
}

std::string_view
RefusalTitle(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::Overloaded:
      return "More is asked than can be served in time";
    case RefusalReason::QuotaExceeded:
      return "The team's quota is used up";
    case RefusalReason::NeverRunnable:
      return "No host can ever run this";
    case RefusalReason::DeadlineUnreachable:
    case RefusalReason::DeadlinePassed:
      return "The deadline cannot be met";
    case RefusalReason::StoreUnavailable:
      return "The platform's table service is away, so the request cannot be "
             "recorded";
    case RefusalReason::Recovering:
      return "The record of this request is being recovered";
    case RefusalReason::Stopping:
      return "This node is stopping";
    case RefusalReason::UnknownWorkload:
      return "The workload is not in the configuration";
    case RefusalReason::UnknownTeam:
      return "The team is not in the configuration";
    case RefusalReason::KeyReused:
      return "The idempotency key was used with another request";
    default:
      return "The request was not run";
  }
}

// Of a refusal that may pass and does not say when.
constexpr std::chrono::milliseconds kRetrySoon{ 1'000 };

std::optional<std::chrono::milliseconds>
RetryAfter(const protocol::RequestStatus& aStatus)
{
  const int http = RefusalStatus(aStatus.mReason);
  if (!aStatus.mRetryAfter.has_value() && (http == 429 || http == 503)) {
    return kRetrySoon;
  }
  return aStatus.mRetryAfter;
}

Problem
RefusalProblem(const protocol::RequestStatus& aStatus)
{
  return { .mStatus = RefusalStatus(aStatus.mReason),
           .mType = std::string(ReasonWord(aStatus.mReason)),
           .mTitle = std::string(RefusalTitle(aStatus.mReason)),
           .mDetail = aStatus.mDetail,
           .mOutcome = std::string(OutcomeWord(aStatus.mOutcome)),
           .mRequestId = aStatus.mId.mValue,
           .mRetryAfter = RetryAfter(aStatus) };
}

HttpAnswer
BodyAnswer(int aHttpStatus, const protocol::RequestStatus& aStatus)
{
  HttpAnswer answer{ .mStatus = aHttpStatus,
                     .mBody = StatusJson(aStatus).dump(
                       -1, ' ', false, json::error_handler_t::replace),
                     .mRetryAfter = aStatus.mRetryAfter };
  answer.mLocation = "/v1/requests/" + aStatus.mId.mValue;
  return answer;
}

// Reasons given by a node that could not ask the owner of the request's record.
bool
IsWithoutRecord(RefusalReason aReason)
{
  return aReason == RefusalReason::Recovering;
}

} // namespace

HttpAnswer
SubmitAnswer(const protocol::RequestStatus& aStatus, bool aHasKey)
{
  protocol::RequestStatus status = aStatus;
  if (IsWithoutRecord(status.mReason)) {
    status.mOutcome = aHasKey ? Outcome::NotKnownYet : Outcome::NotRun;
    return ProblemAnswer(RefusalProblem(status));
  }
  switch (status.mOutcome) {
    case Outcome::Ran:
      return BodyAnswer(200, status);
    case Outcome::Pending:
    case Outcome::NotKnownYet:
      return BodyAnswer(202, status);
    default:
      return ProblemAnswer(RefusalProblem(status));
  }
}

HttpAnswer
StatusAnswer(const protocol::RequestStatus& aStatus)
{
  if (aStatus.mOutcome == Outcome::NotFound) {
    return ProblemAnswer({ .mStatus = 404,
                           .mType = "unknown_request",
                           .mTitle = "No request of this id is known",
                           .mOutcome = "not_found",
                           .mRequestId = aStatus.mId.mValue });
  }
  if (IsWithoutRecord(aStatus.mReason)) {
    return ProblemAnswer(RefusalProblem(aStatus));
  }
  return BodyAnswer(200, aStatus);
}

HttpAnswer
PatchAnswer(const std::string& aPatchId,
            const configuration::PatchOutcome& aOutcome)
{
  using configuration::PatchVerdict;
  constexpr std::chrono::milliseconds kRetryAfter{ 2'000 };
  const std::string newest =
    aOutcome.mVersion.mValue > 0
      ? fmt::format(" (the newest version is {})", aOutcome.mVersion)
      : "";
  switch (aOutcome.mVerdict) {
    case PatchVerdict::Accepted: {
      HttpAnswer answer{ .mBody = json{ { "verdict", "accepted" },
                                        { "version", aOutcome.mVersion.mValue },
                                        { "patch_id", aPatchId } }
                                    .dump() };
      answer.mETag = fmt::format("\"{}\"", aOutcome.mVersion);
      return answer;
    }
    case PatchVerdict::Conflict:
      return ProblemAnswer({ .mStatus = 412,
                             .mType = "conflict",
                             .mTitle = "Another patch came first",
                             .mDetail = aOutcome.mDetail + newest });
    case PatchVerdict::Invalid:
      return ProblemAnswer({ .mStatus = 422,
                             .mType = "invalid",
                             .mTitle = "The patch is not valid",
                             .mDetail = aOutcome.mDetail });
    case PatchVerdict::NotApplied:
      return ProblemAnswer({ .mStatus = 503,
                             .mType = "not_applied",
                             .mTitle = "The patch was not applied",
                             .mDetail = aOutcome.mDetail,
                             .mRetryAfter = kRetryAfter });
    case PatchVerdict::NotKnownYet:
      break;
  }
  return HttpAnswer{ .mStatus = 202,
                     .mBody = json{ { "verdict", "not_known_yet" },
                                    { "patch_id", aPatchId },
                                    { "detail", aOutcome.mDetail } }
                                .dump(),
                     .mRetryAfter = kRetryAfter,
                     .mLocation = "/v1/configuration/patches/" + aPatchId };
}

} // namespace oriolevane::gateway
