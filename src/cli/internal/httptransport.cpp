#include "cli/httptransport.h"

#include <array>
#include <istream>
#include <ostream>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <fmt/format.h>

namespace oriolevane::cli {

namespace {

constexpr std::size_t kMaxAnswerBytes = 64UL * 1'024 * 1'024;
constexpr std::size_t kChunkBytes = 65'536;

Poco::Timespan
ToTimespan(std::chrono::milliseconds aTime)
{
  return Poco::Timespan(std::chrono::microseconds(aTime).count());
}

// False when the answer is larger than anything that a gateway sends.
bool
ReadBody(std::istream& aStream, std::string& aBody)
{
  std::array<char, kChunkBytes> chunk{};
  while (aStream.good() && aBody.size() <= kMaxAnswerBytes) {
    aStream.read(chunk.data(), chunk.size());
    aBody.append(chunk.data(), static_cast<std::size_t>(aStream.gcount()));
  }
  return aBody.size() <= kMaxAnswerBytes;
}

ApiAnswer
Exchange(Poco::Net::HTTPClientSession& aSession,
         const std::string& aAddress,
         const ApiCall& aCall)
{
  Poco::Net::HTTPRequest request(
    aCall.mMethod, aCall.mTarget, Poco::Net::HTTPMessage::HTTP_1_1);
  request.setHost(aAddress);
  for (const auto& [name, value] : aCall.mHeaders) {
    request.set(name, value);
  }
  request.setContentLength64(static_cast<Poco::Int64>(aCall.mBody.size()));
  aSession.sendRequest(request) << aCall.mBody << std::flush;
  Poco::Net::HTTPResponse response;
  ApiAnswer answer{ .mDelivery = Delivery::Answered };
  const bool whole = ReadBody(aSession.receiveResponse(response), answer.mBody);
  const auto declared = response.getContentLength64();
  if (!whole || (declared >= 0 &&
                 static_cast<std::size_t>(declared) != answer.mBody.size())) {
    return { .mDelivery = Delivery::AnswerLost,
             .mError = "the answer did not arrive whole" };
  }
  answer.mStatus = static_cast<int>(response.getStatus());
  return answer;
}

std::string
Describe(const std::string& aAddress, const Poco::Exception& aError)
{
  return fmt::format("{}: {}", aAddress, aError.displayText());
}

} // namespace

ApiAnswer
SendOverHttp(const std::string& aAddress, const ApiCall& aCall)
{
  const Poco::Timespan timeout = ToTimespan(aCall.mTimeout);
  Poco::Net::StreamSocket socket;
  try {
    socket.connect(Poco::Net::SocketAddress(aAddress), timeout);
  } catch (const Poco::Exception& error) {
    return { .mDelivery = Delivery::NotSent,
             .mError = Describe(aAddress, error) };
  }
  try {
    Poco::Net::HTTPClientSession session(socket);
    session.setTimeout(timeout);
    session.setKeepAlive(false);
    return Exchange(session, aAddress, aCall);
  } catch (const Poco::Exception& error) {
    return { .mDelivery = Delivery::AnswerLost,
             .mError = Describe(aAddress, error) };
  }
}

} // namespace oriolevane::cli
