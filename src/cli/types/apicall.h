// One call to a gateway and what came of it.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace oriolevane::cli {

struct ApiCall
{
  std::string mMethod = "GET";
  // Encoded path and query.
  std::string mTarget;
  std::string mBody;
  std::map<std::string, std::string> mHeaders;
  // A second delivery has no further effect, so that a lost answer may be
  // followed by a try elsewhere.
  bool mRepeatable = true;
  std::chrono::milliseconds mTimeout{ 0 };
};

enum class Delivery : std::uint8_t
{
  // mStatus and mBody are the answer.
  Answered,
  // Surely no byte of the call was sent.
  NotSent,
  // Sent, wholly or in part, and no whole answer came.
  AnswerLost
};

struct ApiAnswer
{
  Delivery mDelivery = Delivery::NotSent;
  int mStatus = 0;
  std::string mBody;
  // Why there is no answer, when there is none.
  std::string mError;
};

} // namespace oriolevane::cli
