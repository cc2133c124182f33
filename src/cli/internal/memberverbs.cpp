#include <map>
#include <optional>

#include <fmt/format.h>

#include "cli/internal/mergediff.h"
#include "cli/internal/patchsender.h"
#include "cli/internal/printing.h"
#include "cli/internal/texttable.h"
#include "cli/internal/verbs.h"

namespace oriolevane::cli {

using nlohmann::json;
using Operands = std::vector<std::string>;

namespace {

// Cell-wide amounts by the name on the command line.
const std::map<std::string, json::json_pointer>&
CapacityKeys()
{
  static const std::map<std::string, json::json_pointer> kKeys = {
    { "grantable_per_mille",
      json::json_pointer("/capacity/grantable_per_mille") },
    { "rate_per_s", json::json_pointer("/admission/rate_per_s") }
  };
  return kKeys;
}

json
MemberOf(const json& aBody, const std::string& aKey)
{
  return aBody.is_object() ? aBody.value(aKey, json::object()) : json::object();
}

ExitCode
List(const std::string& aMembers,
     const CommandLine& aLine,
     const CliHooks& aHooks)
{
  return CallAndPrint({ .mTarget = "/v1/configuration" },
                      aLine,
                      aHooks,
                      [&aMembers](std::ostream& aOut, const json& aAnswer) {
                        TextTable table({ "NAME", "SETTINGS" });
                        const json members =
                          MemberOf(MemberOf(aAnswer, "body"), aMembers);
                        for (const auto& [name, member] : members.items()) {
                          table.AddRow({ name, member.dump() });
                        }
                        table.Print(aOut);
                      });
}

// Puts the file's object in place of the member that there was.
ExitCode
Set(const std::string& aMembers,
    const Operands& aOperands,
    const CommandLine& aLine,
    const CliHooks& aHooks)
{
  ExitCode code = ExitCode::Ok;
  const std::optional<json> member = ReadJsonFile(aOperands[1], aHooks, code);
  if (!member.has_value()) {
    return code;
  }
  return PatchFromCurrent(
    [&](const json& aBody) -> std::optional<json> {
      const json members = MemberOf(aBody, aMembers);
      if (!members.contains(aOperands[0])) {
        return json{ { aMembers, { { aOperands[0], *member } } } };
      }
      json patch = MergeDiff(members[aOperands[0]], *member);
      return patch.empty()
               ? json::object()
               : json{ { aMembers, { { aOperands[0], std::move(patch) } } } };
    },
    aLine,
    aHooks);
}

ExitCode
Remove(const std::string& aMembers,
       const std::string& aName,
       const CommandLine& aLine,
       const CliHooks& aHooks)
{
  return PatchFromCurrent(
    [&](const json& aBody) -> std::optional<json> {
      if (!MemberOf(aBody, aMembers).contains(aName)) {
        aHooks.mErr << fmt::format(
          "there is no \"{}\" in \"{}\"\n", aName, aMembers);
        return std::nullopt;
      }
      return json{ { aMembers, { { aName, nullptr } } } };
    },
    aLine,
    aHooks);
}

ExitCode
ShowCapacity(const Operands&, const CommandLine& aLine, const CliHooks& aHooks)
{
  return CallAndPrint(
    { .mTarget = "/v1/configuration" },
    aLine,
    aHooks,
    [](std::ostream& aOut, const json& aAnswer) {
      TextTable table({ "KEY", "VALUE" });
      const json body = MemberOf(aAnswer, "body");
      for (const auto& [key, pointer] : CapacityKeys()) {
        const std::string value = CellText(body, pointer.to_string());
        table.AddRow({ key, value.empty() ? "default" : value });
      }
      table.Print(aOut);
    });
}

ExitCode
SetCapacity(const Operands& aOperands,
            const CommandLine& aLine,
            const CliHooks& aHooks)
{
  const auto key = CapacityKeys().find(aOperands[0]);
  if (key == CapacityKeys().end()) {
    aHooks.mErr << "KEY must be grantable_per_mille or rate_per_s\n";
    return ExitCode::Usage;
  }
  const json value = json::parse(aOperands[1], nullptr, false);
  if (!value.is_number()) {
    aHooks.mErr << "VALUE must be a number\n";
    return ExitCode::Usage;
  }
  return PatchFromCurrent(
    [&](const json& aBody) -> std::optional<json> {
      json patch = json::object();
      if (!aBody.contains(key->second) || aBody.at(key->second) != value) {
        patch[key->second] = value;
      }
      return patch;
    },
    aLine,
    aHooks);
}

std::vector<Verb>
VerbsOver(const std::string& aWord, const std::string& aMembers)
{
  return {
    { .mName = aWord + " list",
      .mSummary = fmt::format("List the {} of the configuration.", aMembers),
      .mRun =
        [aMembers](
          const Operands&, const CommandLine& aLine, const CliHooks& aHooks) {
          return List(aMembers, aLine, aHooks);
        } },
    { .mName = aWord + " set",
      .mSynopsis = "NAME FILE",
      .mSummary = fmt::format("Put the settings in a file (JSON with comments) "
                              "in place of those of a {}, or add it.",
                              aWord),
      .mDetails = "The configuration is read first; what differs is sent as a "
                  "patch against its version. Exit codes as of config apply.",
      .mOperands = 2,
      .mRun =
        [aMembers](const Operands& aOperands,
                   const CommandLine& aLine,
                   const CliHooks& aHooks) {
          return Set(aMembers, aOperands, aLine, aHooks);
        } },
    { .mName = aWord + " remove",
      .mSynopsis = "NAME",
      .mSummary = fmt::format("Take a {} out of the configuration.", aWord),
      .mOperands = 1,
      .mRun =
        [aMembers](const Operands& aOperands,
                   const CommandLine& aLine,
                   const CliHooks& aHooks) {
          return Remove(aMembers, aOperands[0], aLine, aHooks);
        } }
  };
}

} // namespace

std::vector<Verb>
MemberVerbs()
{
  std::vector<Verb> verbs = VerbsOver("workload", "workloads");
  const std::vector<Verb> teams = VerbsOver("team", "teams");
  verbs.insert(verbs.end(), teams.begin(), teams.end());
  verbs.push_back({ .mName = "capacity show",
                    .mSummary = "Show the cell-wide amounts.",
                    .mRun = ShowCapacity });
  verbs.push_back({ .mName = "capacity set",
                    .mSynopsis = "KEY VALUE",
                    .mSummary = "Set grantable_per_mille (share of each "
                                "worker's capacity that may be granted) or "
                                "rate_per_s (requests a second admitted).",
                    .mOperands = 2,
                    .mRun = SetCapacity });
  return verbs;
}

} // namespace oriolevane::cli
