#include "standins/worker/taskscript.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace oriolevane::standins {

namespace {

constexpr std::size_t kMostAnswerBytes = 16UL * 1024 * 1024;

} // namespace

TaskScript
ParseTaskScript(std::string_view aPayload)
{
  TaskScript script;
  const nlohmann::json payload =
    nlohmann::json::parse(aPayload, nullptr, false);
  if (!payload.is_object()) {
    script.mAnswer = aPayload;
    return script;
  }
  const auto number = [&payload](const char* aKey, std::uint64_t aDefault) {
    const auto found = payload.find(aKey);
    return found != payload.end() && found->is_number_unsigned()
             ? found->get<std::uint64_t>()
             : aDefault;
  };
  script.mRunTimeGiven = payload.contains("runMs");
  script.mRunTime = std::chrono::milliseconds(number("runMs", 100));
  if (payload.contains("answerBytes")) {
    script.mAnswerBytes =
      std::min<std::size_t>(number("answerBytes", 0), kMostAnswerBytes);
  }
  const auto fail = payload.find("fail");
  script.mFail = fail != payload.end() && *fail == true;
  const auto answer = payload.find("answer");
  if (answer != payload.end() && answer->is_string()) {
    script.mAnswer = answer->get<std::string>();
  }
  return script;
}

std::string
MakeAnswer(const protocol::TaskKey& aTask, std::size_t aBytes)
{
  constexpr std::size_t kLetters = 26;
  std::string answer =
    fmt::format("{}/{}/{}:", aTask.mRequest, aTask.mIndex, aTask.mAttempt);
  std::size_t letter = answer.size();
  while (answer.size() < aBytes) {
    answer += static_cast<char>('a' + letter++ % kLetters);
  }
  answer.resize(aBytes);
  return answer;
}

} // namespace oriolevane::standins
