#include "workers/internal/exchangesession.h"

#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <fmt/format.h>

#include "workers/internal/httpbody.h"
#include "workers/workerlink.h"

namespace oriolevane::workers {

namespace {

using Poco::Net::HTTPClientSession;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

Poco::Timespan
ToTimespan(std::chrono::milliseconds aTime)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(aTime).count();
}

} // namespace

ExchangeSession::ExchangeSession(WorkerAddress aAddress)
  : mAddress(std::move(aAddress))
{
}

absl::StatusOr<std::string>
ExchangeSession::Exchange(const std::string& aBody,
                          const WorkerLinkOptions& aOptions,
                          DeadlineGuard& aGuard)
{
  const TimePoint deadline =
    std::chrono::steady_clock::now() + aOptions.mExchangeTimeout;
  const bool reused = mSession != nullptr;
  absl::StatusOr<std::string> answer =
    Attempt(aBody, aOptions, aGuard, deadline);
  if (reused && absl::IsUnavailable(answer.status())) {
    answer = Attempt(aBody, aOptions, aGuard, deadline);
  }
  return answer;
}

absl::StatusOr<std::string>
ExchangeSession::Attempt(const std::string& aBody,
                         const WorkerLinkOptions& aOptions,
                         DeadlineGuard& aGuard,
                         TimePoint aDeadline)
{
  if (mSession == nullptr) {
    if (absl::Status connected = Connect(aOptions); !connected.ok()) {
      return connected;
    }
  }
  absl::StatusOr<std::string> answer;
  {
    const DeadlineGuard::Watch watch(aGuard, mSession->socket(), aDeadline);
    try {
      answer = PostAndRead(aBody, aOptions.mMaxBodyBytes);
    } catch (const Poco::TimeoutException&) {
      answer = absl::DeadlineExceededError("no answer in time");
    } catch (const Poco::Exception& fault) {
      answer = absl::UnavailableError(fault.displayText());
    }
    // A body without a length seems whole when the guard ends its stream, and a
    // timeout while a body is read only ends the stream.
    const bool late =
      !answer.ok() && std::chrono::steady_clock::now() >= aDeadline;
    if (late || watch.Fired()) {
      answer = absl::DeadlineExceededError("no whole answer in time");
    }
  }
  if (!answer.ok()) {
    mSession.reset();
  }
  return answer;
}

absl::Status
ExchangeSession::Connect(const WorkerLinkOptions& aOptions)
{
  try {
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(mAddress.mHost),
                   ToTimespan(aOptions.mConnectTimeout));
    socket.setNoDelay(true);
    // Without a host of its own the session never reconnects by itself, which
    // would leave the deadline guard with the old socket.
    mSession = std::make_unique<HTTPClientSession>(socket);
    mSession->setKeepAlive(true);
    mSession->setTimeout(ToTimespan(aOptions.mExchangeTimeout));
    return absl::OkStatus();
  } catch (const Poco::TimeoutException&) {
    return absl::DeadlineExceededError("no connection in time");
  } catch (const Poco::Exception& fault) {
    return absl::UnavailableError(fault.displayText());
  }
}

absl::StatusOr<std::string>
ExchangeSession::PostAndRead(const std::string& aBody,
                             std::size_t aMaxBodyBytes)
{
  HTTPRequest request(HTTPRequest::HTTP_POST,
                      mAddress.mPath + kExchangePath,
                      HTTPRequest::HTTP_1_1);
  request.setHost(mAddress.mHost);
  request.setContentType("application/json");
  request.setContentLength64(static_cast<Poco::Int64>(aBody.size()));
  mSession->sendRequest(request) << aBody << std::flush;
  HTTPResponse response;
  std::istream& stream = mSession->receiveResponse(response);
  absl::StatusOr<std::string> answer =
    ReadHttpBody(stream, response.getContentLength64(), aMaxBodyBytes);
  if (!answer.ok()) {
    return answer;
  }
  if (response.getStatus() != HTTPResponse::HTTP_OK) {
    return absl::FailedPreconditionError(fmt::format(
      "answered with HTTP status {}", static_cast<int>(response.getStatus())));
  }
  if (!response.getKeepAlive()) {
    mSession.reset();
  }
  return answer;
}

} // namespace oriolevane::workers
