#include "gateway/internal/httphandler.h"

#include <array>
#include <istream>
#include <optional>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/URI.h>
#include <fmt/format.h>

#include "framework/log.h"
#include "framework/types/timepoint.h"

namespace oriolevane::gateway {

namespace {

constexpr std::size_t kReadChunkBytes = 8'192;
constexpr std::size_t kMaxPathBytes = 2'048;
constexpr std::size_t kMaxAuthorBytes = 128;

HttpAnswer
TooLarge(std::size_t aLimit)
{
  return ProblemAnswer(
    { .mStatus = 413,
      .mType = "too_large",
      .mTitle = "The body is too large",
      .mDetail = fmt::format("at most {} bytes are taken", aLimit),
      .mOutcome = "not_run" });
}

HttpAnswer
Malformed(std::string aDetail)
{
  return ProblemAnswer({ .mStatus = 400,
                         .mType = "invalid",
                         .mTitle = "The request is not valid",
                         .mDetail = std::move(aDetail) });
}

struct BodyRead
{
  std::string mBody;
  // Set when the body could not be taken whole.
  std::optional<HttpAnswer> mRefusal;
};

// Each read waits at most for the socket's own timeout; the whole body for
// aLimits.mBodyTimeout.
BodyRead
ReadBody(Poco::Net::HTTPServerRequest& aRequest,
         const HttpHandlerLimits& aLimits)
{
  BodyRead read;
  const auto declared = aRequest.getContentLength64();
  if (declared > static_cast<Poco::Int64>(aLimits.mMaxBodyBytes)) {
    read.mRefusal = TooLarge(aLimits.mMaxBodyBytes);
    return read;
  }
  const TimePoint started = std::chrono::steady_clock::now();
  std::istream& stream = aRequest.stream();
  std::array<char, kReadChunkBytes> chunk{};
  while (stream.good()) {
    stream.read(chunk.data(), chunk.size());
    read.mBody.append(chunk.data(), static_cast<std::size_t>(stream.gcount()));
    if (read.mBody.size() > aLimits.mMaxBodyBytes) {
      read.mRefusal = TooLarge(aLimits.mMaxBodyBytes);
      return read;
    }
    if (std::chrono::steady_clock::now() - started > aLimits.mBodyTimeout) {
      read.mRefusal =
        ProblemAnswer({ .mStatus = 408,
                        .mType = "slow_body",
                        .mTitle = "The body did not arrive in time",
                        .mOutcome = "not_run" });
      return read;
    }
  }
  if (declared >= 0 &&
      read.mBody.size() != static_cast<std::size_t>(declared)) {
    read.mRefusal = Malformed("the body is shorter than its Content-Length");
  }
  return read;
}

HttpCall
ReadCall(const Poco::Net::HTTPServerRequest& aRequest)
{
  HttpCall call{ .mMethod = aRequest.getMethod(),
                 .mIdempotencyKey = aRequest.get("Idempotency-Key", ""),
                 .mIfMatch = aRequest.get("If-Match", ""),
                 .mAuthor =
                   aRequest.get("X-Author", "").substr(0, kMaxAuthorBytes) };
  const Poco::URI uri(aRequest.getURI());
  uri.getPathSegments(call.mPath);
  for (const auto& [name, value] : uri.getQueryParameters()) {
    call.mQuery[name] = value;
  }
  return call;
}

void
Send(Poco::Net::HTTPServerResponse& aResponse, const HttpAnswer& aAnswer)
{
  aResponse.setStatus(
    static_cast<Poco::Net::HTTPResponse::HTTPStatus>(aAnswer.mStatus));
  aResponse.setReason(
    Poco::Net::HTTPResponse::getReasonForStatus(aResponse.getStatus()));
  aResponse.setContentType(aAnswer.mContentType);
  if (aAnswer.mRetryAfter.has_value()) {
    const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(*aAnswer.mRetryAfter);
    aResponse.set("Retry-After", std::to_string(seconds.count()));
  }
  if (!aAnswer.mLocation.empty()) {
    aResponse.set("Location", aAnswer.mLocation);
  }
  if (!aAnswer.mETag.empty()) {
    aResponse.set("ETag", aAnswer.mETag);
  }
  if (!aAnswer.mAllow.empty()) {
    aResponse.set("Allow", aAnswer.mAllow);
  }
  aResponse.setContentLength64(static_cast<Poco::Int64>(aAnswer.mBody.size()));
  aResponse.sendBuffer(aAnswer.mBody.data(), aAnswer.mBody.size());
}

} // namespace

HttpHandler::HttpHandler(Router& aRouter, HttpHandlerLimits aLimits)
  : mRouter(aRouter)
  , mLimits(aLimits)
{
}

HttpAnswer
HttpHandler::Answer(Poco::Net::HTTPServerRequest& aRequest)
{
  if (aRequest.getURI().size() > kMaxPathBytes) {
    return Malformed(fmt::format("a path has at most {} bytes", kMaxPathBytes));
  }
  HttpCall call;
  try {
    call = ReadCall(aRequest);
  } catch (const Poco::SyntaxException& error) {
    return Malformed(error.displayText());
  }
  BodyRead body = ReadBody(aRequest, mLimits);
  if (body.mRefusal.has_value()) {
    return *body.mRefusal;
  }
  call.mBody = std::move(body.mBody);
  return mRouter.Route(call);
}

void
HttpHandler::handleRequest(Poco::Net::HTTPServerRequest& aRequest,
                           Poco::Net::HTTPServerResponse& aResponse)
{
  try {
    const HttpAnswer answer = Answer(aRequest);
    if (answer.mStatus == 413 || answer.mStatus == 408) {
      aResponse.setKeepAlive(false);
    }
    Send(aResponse, answer);
  } catch (const Poco::Exception& error) {
    // The caller's connection is gone; its request goes on and can be asked
    // for.
    LogDebug("caller_connection_lost").With("error", error.displayText());
    aResponse.setKeepAlive(false);
  }
}

} // namespace oriolevane::gateway
