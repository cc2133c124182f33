#include "store/internal/httpchannel.h"

#include <array>
#include <istream>
#include <ostream>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Timespan.h>

namespace oriolevane::store {

namespace {

constexpr std::size_t kMaxIdleSessions = 16;
constexpr std::size_t kReadChunkBytes = 64UL * 1024;

Poco::Timespan
ToTimespan(std::chrono::milliseconds aDuration)
{
  return Poco::Timespan(
    std::chrono::duration_cast<std::chrono::microseconds>(aDuration).count());
}

absl::Status
NoAnswer(const std::string& aWhy)
{
  return absl::DeadlineExceededError("no answer from the platform: " + aWhy);
}

} // namespace

void
HttpChannel::Session::Connect()
{
  if (mustReconnect()) {
    close();
  }
  if (!connected()) {
    reconnect();
  }
}

HttpChannel::HttpChannel(const HttpPlatformOptions& aOptions,
                         const Poco::Net::SocketAddress& aAddress)
  : mOptions(aOptions)
  , mAddress(aAddress)
{
}

absl::StatusOr<HttpAnswer>
HttpChannel::Exchange(const HttpCall& aCall)
{
  if (aCall.mBody.size() > mOptions.mMaxBodyBytes) {
    return absl::ResourceExhaustedError("request body above the limit");
  }
  auto session = TakeSession();
  if (!session.ok()) {
    return session.status();
  }
  absl::StatusOr<HttpAnswer> answer = absl::InternalError("not sent");
  try {
    answer = SendAndReceive(**session, aCall);
  } catch (const Poco::Exception& error) {
    answer = NoAnswer(error.displayText());
  }
  if (answer.ok()) {
    GiveBack(*std::move(session));
  } else {
    DropIdle();
  }
  return answer;
}

absl::StatusOr<std::unique_ptr<HttpChannel::Session>>
HttpChannel::TakeSession()
{
  std::unique_ptr<Session> session;
  {
    const std::lock_guard lock(mMutex);
    if (!mIdle.empty()) {
      session = std::move(mIdle.back());
      mIdle.pop_back();
    }
  }
  try {
    if (!session) {
      session = std::make_unique<Session>(mAddress);
      session->setKeepAlive(true);
      session->setTimeout(ToTimespan(mOptions.mConnectTimeout),
                          ToTimespan(mOptions.mRequestTimeout),
                          ToTimespan(mOptions.mRequestTimeout));
    }
    session->Connect();
  } catch (const Poco::Exception& error) {
    return absl::UnavailableError("cannot connect to the platform: " +
                                  error.displayText());
  }
  return session;
}

void
HttpChannel::GiveBack(std::unique_ptr<Session> aSession)
{
  const std::lock_guard lock(mMutex);
  if (mIdle.size() < kMaxIdleSessions) {
    mIdle.push_back(std::move(aSession));
  }
}

void
HttpChannel::DropIdle()
{
  std::vector<std::unique_ptr<Session>> dropped;
  const std::lock_guard lock(mMutex);
  dropped.swap(mIdle);
}

absl::StatusOr<HttpAnswer>
HttpChannel::SendAndReceive(Session& aSession, const HttpCall& aCall) const
{
  const TimePoint deadline =
    std::chrono::steady_clock::now() + mOptions.mRequestTimeout;
  Poco::Net::HTTPRequest request(
    aCall.mMethod, aCall.mTarget, Poco::Net::HTTPMessage::HTTP_1_1);
  request.setHost(mAddress.toString());
  request.setKeepAlive(true);
  request.setContentLength64(static_cast<std::int64_t>(aCall.mBody.size()));
  std::ostream& out = aSession.sendRequest(request);
  out.write(aCall.mBody.data(),
            static_cast<std::streamsize>(aCall.mBody.size()));
  out.flush();
  Poco::Net::HTTPResponse response;
  std::istream& in = aSession.receiveResponse(response);
  const std::int64_t expected =
    response.hasContentLength() ? response.getContentLength64() : -1;
  auto body = ReadBody(in, expected, deadline);
  if (!body.ok()) {
    return body.status();
  }
  return HttpAnswer{ .mStatus = static_cast<int>(response.getStatus()),
                     .mBody = *std::move(body) };
}

absl::StatusOr<std::string>
HttpChannel::ReadBody(std::istream& aStream,
                      std::int64_t aExpected,
                      TimePoint aDeadline) const
{
  std::string body;
  std::array<char, kReadChunkBytes> chunk{};
  while (aStream) {
    aStream.read(chunk.data(), chunk.size());
    body.append(chunk.data(), static_cast<std::size_t>(aStream.gcount()));
    if (body.size() > mOptions.mMaxBodyBytes) {
      return NoAnswer("answer body above the limit");
    }
    if (std::chrono::steady_clock::now() > aDeadline) {
      return NoAnswer("answer too slow");
    }
  }
  if (aStream.bad() ||
      (aExpected >= 0 && body.size() != static_cast<std::size_t>(aExpected))) {
    return NoAnswer("answer cut short");
  }
  return body;
}

} // namespace oriolevane::store
