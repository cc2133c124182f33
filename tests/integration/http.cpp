#include "integration/http.h"

#include <sstream>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

namespace oriolevane::integration {

nlohmann::json
HttpResult::Json() const
{
  nlohmann::json parsed = nlohmann::json::parse(mBody, nullptr, false);
  return parsed.is_discarded() ? nlohmann::json() : parsed;
}

HttpResult
Ask(const HttpAsk& aAsk)
{
  HttpResult result;
  try {
    Poco::Net::HTTPClientSession session{ Poco::Net::SocketAddress(
      aAsk.mAddress) };
    session.setTimeout(
      Poco::Timespan(std::chrono::microseconds(aAsk.mTimeout).count()));
    Poco::Net::HTTPRequest request(
      aAsk.mMethod, aAsk.mPath, Poco::Net::HTTPMessage::HTTP_1_1);
    for (const auto& [name, value] : aAsk.mHeaders) {
      request.set(name, value);
    }
    request.setContentLength(static_cast<std::streamsize>(aAsk.mBody.size()));
    session.sendRequest(request) << aAsk.mBody;
    Poco::Net::HTTPResponse response;
    std::ostringstream body;
    Poco::StreamCopier::copyStream(session.receiveResponse(response), body);
    if (response.getContentLength() !=
          Poco::Net::HTTPMessage::UNKNOWN_CONTENT_LENGTH &&
        response.getContentLength() !=
          static_cast<std::streamsize>(body.str().size())) {
      return result;
    }
    result.mStatus = response.getStatus();
    result.mBody = body.str();
    for (const auto& [name, value] : response) {
      result.mHeaders[name] = value;
    }
  } catch (const Poco::Exception&) {
    result.mStatus = 0;
  }
  return result;
}

} // namespace oriolevane::integration
