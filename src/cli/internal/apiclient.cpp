#include "cli/internal/apiclient.h"

#include <Poco/URI.h>

namespace oriolevane::cli {

ApiAnswer
CallApi(const CommandLine& aLine, const CliHooks& aHooks, ApiCall aCall)
{
  aCall.mTimeout += aLine.mTimeout;
  ApiAnswer result{ .mError = "no address was given" };
  for (const std::string& address : aLine.mAddresses) {
    ApiAnswer answer = aHooks.mSend(address, aCall);
    if (answer.mDelivery == Delivery::Answered) {
      return answer;
    }
    aHooks.mErr << "no answer from " << answer.mError << '\n';
    const bool lost = answer.mDelivery == Delivery::AnswerLost;
    if (lost && !aCall.mRepeatable) {
      return answer;
    }
    if (lost || result.mDelivery == Delivery::NotSent) {
      result = std::move(answer);
    }
  }
  return result;
}

std::string
EncodePart(const std::string& aText)
{
  std::string encoded;
  Poco::URI::encode(aText, "/?#&=+%:;@,$!*'()[]", encoded);
  return encoded;
}

} // namespace oriolevane::cli
