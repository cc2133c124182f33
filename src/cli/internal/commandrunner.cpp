#include "cli/commandrunner.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cli/internal/texttable.h"
#include "cli/internal/verbs.h"

namespace oriolevane::cli {

using nlohmann::json;

namespace {

std::string
JoinWords(const std::vector<std::string>& aWords, std::size_t aCount)
{
  std::string text;
  for (std::size_t index = 0; index < std::min(aCount, aWords.size());
       ++index) {
    text += (index == 0 ? "" : " ") + aWords[index];
  }
  return text;
}

struct FoundVerb
{
  const Verb* mVerb = nullptr;
  std::vector<std::string> mOperands;
};

FoundVerb
FindVerb(const std::vector<std::string>& aWords)
{
  constexpr std::size_t kMostWords = 2;
  for (std::size_t count = std::min(kMostWords, aWords.size()); count > 0;
       --count) {
    const std::string name = JoinWords(aWords, count);
    for (const Verb& verb : AllVerbs()) {
      if (verb.mName == name) {
        return { &verb,
                 { aWords.begin() + static_cast<std::ptrdiff_t>(count),
                   aWords.end() } };
      }
    }
  }
  return {};
}

// What is wrong with the flags that all verbs share; empty when nothing is.
std::string
FlagProblem(const CommandLine& aLine)
{
  if (aLine.mOutput != "table" && aLine.mOutput != "json") {
    return "--output must be table or json";
  }
  if (aLine.mAddresses.empty()) {
    return "--address names no gateway";
  }
  if (aLine.mTimeout.count() <= 0) {
    return "--timeout_ms must be above 0";
  }
  for (const std::string& text :
       { aLine.mKey, aLine.mPatchId, aLine.mAuthor }) {
    if (Printable(text) != text) {
      return "--key, --patch_id and --author must not hold control characters";
    }
  }
  return "";
}

bool
IsUtf8(const std::string& aText)
{
  const json quoted = aText;
  return quoted.dump(-1, ' ', false, json::error_handler_t::ignore) ==
         quoted.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string
OperandProblem(const FoundVerb& aFound)
{
  if (aFound.mOperands.size() != aFound.mVerb->mOperands) {
    return fmt::format(
      "usage: oriolevane {} {}", aFound.mVerb->mName, aFound.mVerb->mSynopsis);
  }
  for (const std::string& operand : aFound.mOperands) {
    if (operand.empty() || !IsUtf8(operand)) {
      return "operands must be texts in UTF-8 and not empty";
    }
  }
  return "";
}

ExitCode
WrongUsage(const CliHooks& aHooks, const std::string& aProblem)
{
  aHooks.mErr << aProblem << "; see \"oriolevane help\"\n";
  return ExitCode::Usage;
}

} // namespace

std::vector<std::string>
SplitAddresses(const std::string& aText)
{
  std::vector<std::string> addresses;
  std::size_t start = 0;
  while (start <= aText.size()) {
    const std::size_t comma = std::min(aText.find(',', start), aText.size());
    if (comma > start) {
      addresses.push_back(aText.substr(start, comma - start));
    }
    start = comma + 1;
  }
  return addresses;
}

ExitCode
RunCommand(const CommandLine& aLine, const CliHooks& aHooks)
{
  if (aLine.mWords.empty()) {
    return WrongUsage(aHooks, "a verb is missing");
  }
  if (aLine.mWords.front() == "help") {
    const std::vector<std::string> names(aLine.mWords.begin() + 1,
                                         aLine.mWords.end());
    return PrintHelp(JoinWords(names, names.size()), aHooks);
  }
  const FoundVerb found = FindVerb(aLine.mWords);
  if (found.mVerb == nullptr) {
    return WrongUsage(
      aHooks,
      fmt::format("there is no verb \"{}\"", JoinWords(aLine.mWords, 2)));
  }
  if (const std::string problem = OperandProblem(found); !problem.empty()) {
    return WrongUsage(aHooks, problem);
  }
  if (const std::string problem = FlagProblem(aLine); !problem.empty()) {
    return WrongUsage(aHooks, problem);
  }
  try {
    return found.mVerb->mRun(found.mOperands, aLine, aHooks);
  } catch (const json::exception& error) {
    aHooks.mErr << "the answer is not of this interface: " << error.what()
                << '\n';
    return ExitCode::NotKnownYet;
  }
}

} // namespace oriolevane::cli
