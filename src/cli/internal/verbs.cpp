#include "cli/internal/verbs.h"

#include <algorithm>

#include <fmt/format.h>

namespace oriolevane::cli {

namespace {

constexpr const char* kOverview =
  R"(oriolevane [FLAGS] VERB [OPERANDS]

Flags for every verb:
  --address IP:PORT[,IP:PORT...]  gateways, tried in order when one cannot be
                                  reached (default 127.0.0.1:8080)
  --output table|json             json prints the node's answer as it is
  --timeout_ms N                  for one try at one address (default 70000)

Exit codes:
  0  done; a request ran, or was accepted where no outcome was waited for
  1  a flag is not known or its value is of the wrong type
  2  the command line is wrong or a file cannot be read; nothing was sent
  3  refused: surely not run, not applied or not ready
  4  no final outcome yet, or an answer was lost; ask again
  5  not found
  6  conflict: another patch came first, or the key was used otherwise
  7  no address answered, and nothing was sent that could have an effect
  8  what was sent or checked is not valid

Verbs ("help VERB" tells more):
)";

bool
IsUnder(const Verb& aVerb, const std::string& aName)
{
  return aVerb.mName == aName || aVerb.mName.rfind(aName + " ", 0) == 0;
}

std::string
Usage(const Verb& aVerb)
{
  return aVerb.mName + (aVerb.mSynopsis.empty() ? "" : " " + aVerb.mSynopsis);
}

} // namespace

const std::vector<Verb>&
AllVerbs()
{
  static const std::vector<Verb> kVerbs = [] {
    std::vector<Verb> verbs;
    for (const auto& group : { RequestVerbs(),
                               ConfigurationVerbs(),
                               MemberVerbs(),
                               DrainVerbs(),
                               ViewVerbs(),
                               CheckVerbs() }) {
      verbs.insert(verbs.end(), group.begin(), group.end());
    }
    return verbs;
  }();
  return kVerbs;
}

ExitCode
PrintHelp(const std::string& aName, const CliHooks& aHooks)
{
  if (aName.empty()) {
    aHooks.mOut << kOverview;
    for (const Verb& verb : AllVerbs()) {
      aHooks.mOut << fmt::format(
        "  {}\n      {}\n", Usage(verb), verb.mSummary);
    }
    return ExitCode::Ok;
  }
  bool found = false;
  for (const Verb& verb : AllVerbs()) {
    if (!IsUnder(verb, aName)) {
      continue;
    }
    found = true;
    aHooks.mOut << fmt::format(
      "oriolevane {}\n  {}\n", Usage(verb), verb.mSummary);
    if (!verb.mDetails.empty()) {
      aHooks.mOut << "  " << verb.mDetails << '\n';
    }
  }
  if (!found) {
    aHooks.mErr << "there is no verb \"" << aName << "\"\n";
  }
  return found ? ExitCode::Ok : ExitCode::Usage;
}

} // namespace oriolevane::cli
