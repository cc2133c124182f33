#include <optional>

#include <fmt/format.h>

#include "cli/internal/patchsender.h"
#include "cli/internal/verbs.h"

namespace oriolevane::cli {

using nlohmann::json;
using Operands = std::vector<std::string>;

namespace {

// Whether the configuration drains it now.
bool
IsDrained(const json& aBody,
          const std::string& aGroup,
          const std::string& aName)
{
  const json empty = json::object();
  const json drained = aBody.value("drained", empty);
  const json group = drained.value(aGroup, empty);
  return group.value(aName, json(false)) == true;
}

ExitCode
ChangeDrain(const std::string& aGroup,
            const std::string& aName,
            bool aDrain,
            const CommandLine& aLine,
            const CliHooks& aHooks)
{
  return PatchFromCurrent(
    [&](const json& aBody) -> std::optional<json> {
      if (IsDrained(aBody, aGroup, aName) == aDrain) {
        return json::object();
      }
      const json value = aDrain ? json(true) : json(nullptr);
      return json{ { "drained", { { aGroup, { { aName, value } } } } } };
    },
    aLine,
    aHooks);
}

Verb
DrainVerb(const std::string& aWord, bool aDrain)
{
  return { .mName = fmt::format("{} {}", aDrain ? "drain" : "return", aWord),
           .mSynopsis = "NAME",
           .mSummary =
             aDrain
               ? fmt::format("Give no new work to a {}; what it has goes "
                             "on.",
                             aWord)
               : fmt::format("Give new work to a drained {} again.", aWord),
           .mDetails = "0 also when it is so already. Exit codes as of config "
                       "apply.",
           .mOperands = 1,
           .mRun = [group = aWord + "s", aDrain](const Operands& aOperands,
                                                 const CommandLine& aLine,
                                                 const CliHooks& aHooks) {
             return ChangeDrain(group, aOperands[0], aDrain, aLine, aHooks);
           } };
}

} // namespace

std::vector<Verb>
DrainVerbs()
{
  return { DrainVerb("worker", true),
           DrainVerb("node", true),
           DrainVerb("worker", false),
           DrainVerb("node", false) };
}

} // namespace oriolevane::cli
