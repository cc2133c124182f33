#include "gateway/internal/httphandler.h"

#include <algorithm>
#include <array>
#include <istream>
#include <optional>
#include <ostream>
#include <span>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/URI.h>
#include <fmt/format.h>

#include "framework/log.h"
#include "framework/types/timepoint.h"
#include "gateway/callersocket.h"
#include "gateway/internal/lingeringclose.h"
#include "gateway/internal/readdeadline.h"

namespace oriolevane::gateway {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t kReadChunkBytes = 8'192;
constexpr std::size_t kMostDiscardedBytes = 16'777'216;
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

HttpAnswer
SlowBody()
{
  return ProblemAnswer({ .mStatus = 408,
                         .mType = "slow_body",
                         .mTitle = "The body did not arrive in time",
                         .mOutcome = "not_run" });
}

struct BodyRead
{
  std::string mBody;
  // Set when the body could not be taken whole.
  std::optional<HttpAnswer> mRefusal;
};

// Bounds each read of a body by its deadline. The connection's own receive
// timeout is restored at the end.
class BodyTimer
{
public:
  BodyTimer(Poco::Net::HTTPServerRequest& aRequest, milliseconds aLimit)
    : mSocket(
        dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(aRequest).socket())
    , mConnectionTimeout(mSocket.getReceiveTimeout())
    , mDeadline(std::chrono::steady_clock::now() + aLimit)
  {
  }
  BodyTimer(const BodyTimer&) = delete;
  BodyTimer& operator=(const BodyTimer&) = delete;
  ~BodyTimer()
  {
    try {
      mSocket.setReceiveTimeout(mConnectionTimeout);
    } catch (const Poco::Exception&) {
      // The connection is gone, and its timeout with it.
    }
  }

  // Returns false once the deadline has passed.
  bool StartRead()
  {
    const auto timeout =
      mDeadline.ReadTimeout(std::chrono::steady_clock::now());
    if (!timeout.has_value()) {
      return false;
    }
    mSocket.setReceiveTimeout(
      std::min(mConnectionTimeout, Poco::Timespan(timeout->count())));
    return true;
  }
  bool HasExpired() const
  {
    return mDeadline.HasPassed(std::chrono::steady_clock::now());
  }

private:
  Poco::Net::StreamSocket& mSocket;
  Poco::Timespan mConnectionTimeout;
  ReadDeadline mDeadline;
};

// Takes what has arrived, or waits for more; none at the end of the body, when
// the time is over, or when the connection is gone.
std::size_t
ReadSome(std::istream& aStream, BodyTimer& aTimer, std::span<char> aChunk)
{
  if (!aTimer.StartRead() ||
      aStream.peek() == std::istream::traits_type::eof()) {
    return 0;
  }
  return static_cast<std::size_t>(aStream.readsome(
    aChunk.data(), static_cast<std::streamsize>(aChunk.size())));
}

// Reads on for a while after a refusal: closing with unread input would reset
// the connection, and the caller might not see the answer.
void
Discard(std::istream& aStream, BodyTimer& aTimer)
{
  std::array<char, kReadChunkBytes> chunk{};
  std::size_t discarded = 0;
  std::size_t taken = 1;
  while (taken > 0 && discarded < kMostDiscardedBytes) {
    taken = ReadSome(aStream, aTimer, chunk);
    discarded += taken;
  }
}

// The whole body has aLimits.mBodyTimeout to arrive, however it is cut.
BodyRead
ReadBody(Poco::Net::HTTPServerRequest& aRequest,
         const HttpHandlerLimits& aLimits)
{
  BodyRead read;
  BodyTimer timer(aRequest, aLimits.mBodyTimeout);
  std::istream& stream = aRequest.stream();
  const auto declared = aRequest.getContentLength64();
  const bool tooLarge =
    declared > static_cast<Poco::Int64>(aLimits.mMaxBodyBytes);
  std::array<char, kReadChunkBytes> chunk{};
  std::size_t taken = tooLarge ? 0 : 1;
  while (taken > 0 && read.mBody.size() <= aLimits.mMaxBodyBytes) {
    taken = ReadSome(stream, timer, chunk);
    read.mBody.append(chunk.data(), taken);
  }
  if (tooLarge || read.mBody.size() > aLimits.mMaxBodyBytes) {
    Discard(stream, timer);
    read.mRefusal = TooLarge(aLimits.mMaxBodyBytes);
  } else if (declared >= 0 &&
             read.mBody.size() != static_cast<std::size_t>(declared)) {
    read.mRefusal =
      timer.HasExpired()
        ? SlowBody()
        : Malformed("the body is shorter than its Content-Length");
  } else if (declared < 0 && timer.HasExpired()) {
    read.mRefusal = SlowBody();
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

Poco::Net::StreamSocket&
SocketOf(Poco::Net::HTTPServerRequest& aRequest)
{
  return dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(aRequest).socket();
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
  std::ostream& body = aResponse.send();
  body.write(aAnswer.mBody.data(),
             static_cast<std::streamsize>(aAnswer.mBody.size()));
  body.flush();
}

} // namespace

HttpHandler::HttpHandler(Router& aRouter, HttpHandlerLimits aLimits)
  : mRouter(aRouter)
  , mLimits(std::move(aLimits))
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
  try {
    return mRouter.Route(call);
  } catch (const std::exception& error) {
    LogError("call_failed").With("error", error.what());
    return ProblemAnswer({ .mStatus = 500,
                           .mType = "internal",
                           .mTitle = "The call could not be served",
                           .mOutcome = "not_known_yet" });
  }
}

void
HttpHandler::handleRequest(Poco::Net::HTTPServerRequest& aRequest,
                           Poco::Net::HTTPServerResponse& aResponse)
{
  try {
    EndHead(SocketOf(aRequest));
    const HttpAnswer answer = Answer(aRequest);
    const bool closing =
      mLimits.mClosing != nullptr && mLimits.mClosing->load();
    // What is left of a body that was not read whole is not the next request.
    const bool unread =
      answer.mStatus == 400 || answer.mStatus == 408 || answer.mStatus == 413;
    if (closing || unread || mLimits.mCrowded()) {
      aResponse.setKeepAlive(false);
    }
    Send(aResponse, answer);
    if (IsCutOff(SocketOf(aRequest))) {
      aResponse.setKeepAlive(false);
    }
    if (unread) {
      // What follows belongs to the refused body.
      EndHead(SocketOf(aRequest));
      DrainBeforeClose(*SocketOf(aRequest).impl());
    }
  } catch (const Poco::Exception& error) {
    // The caller's connection is gone; its request goes on and can be asked
    // for.
    LogDebug("caller_connection_lost").With("error", error.displayText());
    aResponse.setKeepAlive(false);
  }
}

} // namespace oriolevane::gateway
