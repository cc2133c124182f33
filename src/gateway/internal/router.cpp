#include "gateway/router.h"

#include <optional>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "framework/stablehash.h"
#include "gateway/internal/callchecks.h"
#include "gateway/internal/statusanswer.h"
#include "gateway/internal/viewjson.h"
#include "gateway/statusjson.h"
#include "gateway/submitparser.h"
#include "settings/boundedjson.h"

namespace oriolevane::gateway {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kMaxRequestIdBytes = 128;
constexpr std::size_t kHistoryPage = 100;
constexpr milliseconds kRetrySoon{ 1'000 };

// Counts a waiting caller for as long as it lives; refuses beyond the limit.
class WaitingPlace
{
public:
  WaitingPlace(std::atomic<std::uint32_t>& aWaiting, std::uint32_t aMost)
    : mWaiting(aWaiting)
    , mTaken(aWaiting.fetch_add(1) < aMost)
  {
  }
  WaitingPlace(const WaitingPlace&) = delete;
  WaitingPlace& operator=(const WaitingPlace&) = delete;
  ~WaitingPlace() { mWaiting.fetch_sub(1); }
  bool IsTaken() const { return mTaken; }

private:
  std::atomic<std::uint32_t>& mWaiting;
  bool mTaken;
};

std::string
QueryValue(const HttpCall& aCall, const std::string& aName)
{
  const auto found = aCall.mQuery.find(aName);
  return found == aCall.mQuery.end() ? "" : found->second;
}

HttpAnswer
JsonAnswer(int aStatus, const json& aBody)
{
  return { .mStatus = aStatus,
           .mBody =
             aBody.dump(-1, ' ', false, json::error_handler_t::replace) };
}

HttpAnswer
NotFound()
{
  return ProblemAnswer({ .mStatus = 404,
                         .mType = "unknown_path",
                         .mTitle = "There is nothing at this path" });
}

HttpAnswer
WrongMethod(std::string aAllow)
{
  HttpAnswer answer =
    ProblemAnswer({ .mStatus = 405,
                    .mType = "wrong_method",
                    .mTitle = "This path does not take this method" });
  answer.mAllow = std::move(aAllow);
  return answer;
}

HttpAnswer
BadRequest(std::string aDetail, std::string aOutcome = "")
{
  return ProblemAnswer({ .mStatus = 400,
                         .mType = "invalid",
                         .mTitle = "The request is not valid",
                         .mDetail = std::move(aDetail),
                         .mOutcome = std::move(aOutcome) });
}

HttpAnswer
BadPatchId()
{
  return BadRequest(
    fmt::format("a patch id has from 1 to {} letters, digits or "
                "any of - . _ ~ :",
                kMaxPatchIdBytes));
}

HttpAnswer
StoreProblem(const absl::Status& aStatus)
{
  return ProblemAnswer(
    { .mStatus = 503,
      .mType = "store_unavailable",
      .mTitle = "The platform's table service does not answer",
      .mDetail = std::string(aStatus.message()),
      .mRetryAfter = kRetrySoon });
}

} // namespace

HttpAnswer
ProblemAnswer(const Problem& aProblem)
{
  return { .mStatus = aProblem.mStatus,
           .mContentType = "application/problem+json",
           .mBody = ProblemJson(aProblem),
           .mRetryAfter = aProblem.mRetryAfter };
}

Router::Router(RouterOptions aOptions, GatewayHooks aHooks)
  : mOptions(aOptions)
  , mHooks(std::move(aHooks))
{
}

HttpAnswer
Router::Route(const HttpCall& aCall)
{
  if (aCall.mPath.empty()) {
    return NotFound();
  }
  if (aCall.mPath.front() != "v1") {
    return RouteViews(aCall);
  }
  if (aCall.mPath.size() >= 2 && aCall.mPath[1] == "requests") {
    return RouteRequests(aCall);
  }
  if (aCall.mPath.size() >= 2 && aCall.mPath[1] == "configuration") {
    return RouteConfiguration(aCall);
  }
  return RouteViews(aCall);
}

// Requests.

HttpAnswer
Router::RouteRequests(const HttpCall& aCall)
{
  if (aCall.mPath.size() == 2) {
    return aCall.mMethod == "POST" ? Submit(aCall) : WrongMethod("POST");
  }
  if (aCall.mPath[2].empty() || aCall.mPath[2].size() > kMaxRequestIdBytes) {
    return BadRequest(
      fmt::format("a request id has from 1 to {} bytes", kMaxRequestIdBytes));
  }
  if (aCall.mPath.size() == 3) {
    if (aCall.mMethod == "GET") {
      return Status(aCall, false);
    }
    return aCall.mMethod == "DELETE" ? Cancel(aCall)
                                     : WrongMethod("GET, DELETE");
  }
  if (aCall.mPath.size() == 4 && aCall.mPath[3] == "trail") {
    return aCall.mMethod == "GET" ? Status(aCall, true) : WrongMethod("GET");
  }
  return NotFound();
}

std::string
Router::FreshId()
{
  return fmt::format("r{:016x}{:08x}",
                     StableHash("request", mOptions.mSeed),
                     mCounter.fetch_add(1));
}

HttpAnswer
Router::Submit(const HttpCall& aCall)
{
  const absl::StatusOr<Submission> submission =
    ParseSubmission(aCall.mBody, aCall.mIdempotencyKey, FreshId());
  if (!submission.ok()) {
    return BadRequest(std::string(submission.status().message()), "not_run");
  }
  const protocol::RequestSpec& spec = submission->mSpec;
  const WaitingPlace place(mWaiting, mOptions.mMostWaiting);
  if (spec.mCallerWaits && !place.IsTaken()) {
    return SubmitAnswer({ .mId = spec.mId,
                          .mOutcome = protocol::Outcome::NotRun,
                          .mReason = protocol::RefusalReason::Overloaded,
                          .mDetail = "too many callers wait on this node",
                          .mRetryAfter = kRetrySoon },
                        submission->mHasKey);
  }
  const milliseconds timeout =
    spec.mCallerWaits ? mOptions.mCallerTimeout : mOptions.mShortTimeout;
  return SubmitAnswer(mHooks.mCall(protocol::SubmitCall{ spec }, timeout),
                      submission->mHasKey);
}

HttpAnswer
Router::Status(const HttpCall& aCall, bool aExplain)
{
  protocol::StatusCall call{ .mId = RequestId(aCall.mPath[2]),
                             .mExplain = aExplain };
  const std::string wait = QueryValue(aCall, "wait_ms");
  if (wait.empty()) {
    return StatusAnswer(mHooks.mCall(call, mOptions.mShortTimeout));
  }
  const std::optional<std::uint64_t> waitMillis = ParseNumber(wait);
  if (!waitMillis.has_value()) {
    return BadRequest("wait_ms must be a whole number");
  }
  const WaitingPlace place(mWaiting, mOptions.mMostWaiting);
  call.mWait = place.IsTaken() && *waitMillis > 0;
  const milliseconds most =
    call.mWait ? mOptions.mCallerTimeout : mOptions.mShortTimeout;
  const milliseconds timeout =
    call.mWait ? std::min(most,
                          milliseconds(
                            std::min<std::uint64_t>(*waitMillis, most.count())))
               : most;
  return StatusAnswer(mHooks.mCall(call, timeout));
}

HttpAnswer
Router::Cancel(const HttpCall& aCall)
{
  return StatusAnswer(mHooks.mCall(
    protocol::CancelCall{ RequestId(aCall.mPath[2]) }, mOptions.mShortTimeout));
}

// Configuration.

HttpAnswer
Router::RouteConfiguration(const HttpCall& aCall)
{
  const std::string part = aCall.mPath.size() > 2 ? aCall.mPath[2] : "";
  if (part.empty()) {
    if (aCall.mMethod == "GET") {
      return ShowConfiguration();
    }
    return aCall.mMethod == "PATCH" ? PatchConfiguration(aCall)
                                    : WrongMethod("GET, PATCH");
  }
  if (aCall.mMethod != "GET") {
    return WrongMethod("GET");
  }
  if (part == "history" && aCall.mPath.size() == 3) {
    return ShowHistory(aCall);
  }
  if (part == "patches" && aCall.mPath.size() == 4) {
    return ShowPatch(aCall.mPath[3]);
  }
  if (part == "in-force" && aCall.mPath.size() == 3) {
    return JsonAnswer(200, InForceJson(mHooks.mNodes()));
  }
  return NotFound();
}

HttpAnswer
Router::ShowConfiguration() const
{
  const configuration::VersionedBody current = mHooks.mConfiguration();
  HttpAnswer answer = JsonAnswer(200,
                                 { { "version", current.mVersion.mValue },
                                   { "body", json::parse(current.mBody) } });
  answer.mETag = fmt::format("\"{}\"", current.mVersion);
  return answer;
}

HttpAnswer
Router::PatchConfiguration(const HttpCall& aCall)
{
  std::string_view base = aCall.mIfMatch;
  if (base.size() >= 2 && base.front() == '"' && base.back() == '"') {
    base = base.substr(1, base.size() - 2);
  }
  const std::optional<std::uint64_t> version = ParseNumber(base);
  if (!version.has_value()) {
    return ProblemAnswer(
      { .mStatus = 428,
        .mType = "base_required",
        .mTitle = "A patch needs the version it is made against",
        .mDetail = "send If-Match: \"<version>\"" });
  }
  const std::string patchId =
    aCall.mIdempotencyKey.empty() ? FreshId() : aCall.mIdempotencyKey;
  if (!IsPatchId(patchId)) {
    return BadPatchId();
  }
  // What follows works on the patch by recursion, and takes no comments.
  const absl::StatusOr<json> patch = settings::ParseBoundedJson(aCall.mBody);
  if (!patch.ok()) {
    return PatchAnswer(patchId,
                       { .mVerdict = configuration::PatchVerdict::Invalid,
                         .mDetail = std::string(patch.status().message()) });
  }
  const configuration::PatchOutcome outcome =
    mHooks.mApplyPatch({ .mPatchId = patchId,
                         .mBase = ConfigurationVersion(*version),
                         .mAuthor = ValidUtf8(aCall.mAuthor),
                         .mPatch = patch->dump() });
  return PatchAnswer(patchId, outcome);
}

HttpAnswer
Router::ShowHistory(const HttpCall& aCall) const
{
  const std::string after = QueryValue(aCall, "after");
  const std::optional<std::uint64_t> version =
    after.empty() ? std::uint64_t{ 0 } : ParseNumber(after);
  if (!version.has_value()) {
    return BadRequest("after must be a version number");
  }
  const auto entries =
    mHooks.mHistory(ConfigurationVersion(*version), kHistoryPage);
  if (!entries.ok()) {
    return StoreProblem(entries.status());
  }
  return JsonAnswer(200, HistoryJson(*entries));
}

HttpAnswer
Router::ShowPatch(const std::string& aPatchId) const
{
  if (!IsPatchId(aPatchId)) {
    return BadPatchId();
  }
  const absl::StatusOr<configuration::PatchOutcome> outcome =
    mHooks.mFindPatch(aPatchId);
  if (!outcome.ok()) {
    return StoreProblem(outcome.status());
  }
  return PatchAnswer(aPatchId, *outcome);
}

// Views of the node.

HttpAnswer
Router::RouteViews(const HttpCall& aCall)
{
  using View = std::function<HttpAnswer()>;
  const std::map<std::string, View> views = {
    { "healthz",
      [] {
        return JsonAnswer(200, { { "status", "live" } });
      } },
    { "readyz", [this] { return ShowReadiness(); } },
    { "metrics",
      [this] {
        return HttpAnswer{ .mContentType = "text/plain; version=0.0.4",
                           .mBody = mHooks.mMetrics() };
      } },
    { "v1/nodes",
      [this] { return JsonAnswer(200, NodesJson(mHooks.mNodes())); } },
    { "v1/shards",
      [this] { return JsonAnswer(200, ShardsJson(mHooks.mShards())); } },
    { "v1/workers",
      [this] { return JsonAnswer(200, WorkersJson(mHooks.mWorkers())); } },
    { "v1/report", [this] { return HttpAnswer{ .mBody = mHooks.mReport() }; } },
  };
  std::string path = aCall.mPath.front();
  for (std::size_t part = 1; part < aCall.mPath.size(); ++part) {
    path += "/" + aCall.mPath[part];
  }
  const auto found = views.find(path);
  if (found == views.end()) {
    return NotFound();
  }
  return aCall.mMethod == "GET" ? found->second() : WrongMethod("GET");
}

HttpAnswer
Router::ShowReadiness() const
{
  const Readiness readiness = mHooks.mReadiness();
  if (readiness.mReady) {
    return JsonAnswer(200, { { "status", "ready" } });
  }
  return ProblemAnswer({ .mStatus = 503,
                         .mType = "not_ready",
                         .mTitle = "This node takes no requests now",
                         .mDetail = readiness.mReason,
                         .mRetryAfter = kRetrySoon });
}

} // namespace oriolevane::gateway
