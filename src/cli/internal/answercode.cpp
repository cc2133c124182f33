#include "cli/internal/answercode.h"

#include <map>

namespace oriolevane::cli {

using nlohmann::json;

namespace {

constexpr int kLeastError = 400;
constexpr std::string_view kTypePrefix = "urn:oriolevane:problem:";

std::string
TextOf(const json& aBody, const char* aKey)
{
  if (!aBody.is_object() || !aBody.contains(aKey) || !aBody[aKey].is_string()) {
    return "";
  }
  return aBody[aKey].get<std::string>();
}

ExitCode
OutcomeCode(const std::string& aOutcome, ExitCode aOtherwise)
{
  static const std::map<std::string, ExitCode> kCodes = {
    { "ran", ExitCode::Ok },
    { "not_run", ExitCode::Refused },
    { "pending", ExitCode::NotKnownYet },
    { "not_known_yet", ExitCode::NotKnownYet },
    { "not_found", ExitCode::NotFound }
  };
  const auto found = kCodes.find(aOutcome);
  return found == kCodes.end() ? aOtherwise : found->second;
}

ExitCode
ProblemCode(int aStatus, const json& aBody)
{
  static const std::map<std::string, ExitCode> kCodes = {
    { "invalid", ExitCode::Invalid },
    { "too_large", ExitCode::Invalid },
    { "base_required", ExitCode::Invalid },
    { "wrong_method", ExitCode::Invalid },
    { "unknown_path", ExitCode::NotFound },
    { "key_reused", ExitCode::Conflict },
    { "conflict", ExitCode::Conflict }
  };
  const auto found = kCodes.find(ProblemType(aBody));
  if (found != kCodes.end()) {
    return found->second;
  }
  switch (aStatus) {
    case 400:
      return ExitCode::Invalid;
    case 404:
      return ExitCode::NotFound;
    case 408:
    case 422:
    case 429:
    case 503:
      return OutcomeCode(TextOf(aBody, "outcome"), ExitCode::Refused);
    default:
      return OutcomeCode(TextOf(aBody, "outcome"), ExitCode::NotKnownYet);
  }
}

} // namespace

json
BodyOf(const ApiAnswer& aAnswer)
{
  json body = json::parse(aAnswer.mBody, nullptr, false);
  return body.is_discarded() ? json() : body;
}

std::string
ProblemType(const json& aBody)
{
  const std::string type = TextOf(aBody, "type");
  return type.rfind(kTypePrefix, 0) == 0 ? type.substr(kTypePrefix.size()) : "";
}

ExitCode
CodeOf(const ApiCall& aCall, const ApiAnswer& aAnswer)
{
  if (aAnswer.mDelivery == Delivery::NotSent) {
    return ExitCode::Unreachable;
  }
  if (aAnswer.mDelivery == Delivery::AnswerLost) {
    return aCall.mMethod == "GET" ? ExitCode::Unreachable
                                  : ExitCode::NotKnownYet;
  }
  const json body = BodyOf(aAnswer);
  if (aAnswer.mStatus >= kLeastError) {
    return ProblemCode(aAnswer.mStatus, body);
  }
  if (TextOf(body, "verdict") == "not_known_yet") {
    return ExitCode::NotKnownYet;
  }
  return OutcomeCode(TextOf(body, "outcome"), ExitCode::Ok);
}

} // namespace oriolevane::cli
