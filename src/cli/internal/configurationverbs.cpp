#include <charconv>
#include <optional>

#include "cli/internal/apiclient.h"
#include "cli/internal/patchsender.h"
#include "cli/internal/printing.h"
#include "cli/internal/texttable.h"
#include "cli/internal/verbs.h"

namespace oriolevane::cli {

using nlohmann::json;
using Operands = std::vector<std::string>;

namespace {

std::optional<std::uint64_t>
ParseVersion(const std::string& aText)
{
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto read = std::from_chars(aText.data(), end, number);
  if (aText.empty() || read.ec != std::errc() || read.ptr != end) {
    return std::nullopt;
  }
  return number;
}

ExitCode
Show(const Operands&, const CommandLine& aLine, const CliHooks& aHooks)
{
  return CallAndPrint({ .mTarget = "/v1/configuration" },
                      aLine,
                      aHooks,
                      [](std::ostream& aOut, const json& aBody) {
                        aOut << "// version " << CellText(aBody, "/version")
                             << '\n'
                             << aBody.value("body", json::object()).dump(2)
                             << '\n';
                      });
}

ExitCode
Apply(const Operands& aOperands,
      const CommandLine& aLine,
      const CliHooks& aHooks)
{
  const std::optional<std::uint64_t> base = ParseVersion(aLine.mBase);
  if (!base.has_value()) {
    aHooks.mErr << "config apply needs --base N, the version that the patch is "
                   "made against\n";
    return ExitCode::Usage;
  }
  ExitCode code = ExitCode::Ok;
  const std::optional<json> patch = ReadJsonFile(aOperands[0], aHooks, code);
  return patch.has_value() ? SendPatch(*patch, *base, aLine, aHooks) : code;
}

ExitCode
History(const Operands&, const CommandLine& aLine, const CliHooks& aHooks)
{
  ApiCall call{ .mTarget = "/v1/configuration/history" };
  if (!aLine.mAfter.empty()) {
    if (!ParseVersion(aLine.mAfter).has_value()) {
      aHooks.mErr << "--after must be a version number\n";
      return ExitCode::Usage;
    }
    call.mTarget += "?after=" + aLine.mAfter;
  }
  return CallAndPrint(
    call, aLine, aHooks, [](std::ostream& aOut, const json& aBody) {
      PrintRows(aOut,
                aBody.value("history", json::array()),
                { { "VERSION", "/version" },
                  { "BASE", "/base" },
                  { "PATCH_ID", "/patch_id" },
                  { "AUTHOR", "/author" },
                  { "PATCH", "/patch" } });
    });
}

ExitCode
InForce(const Operands&, const CommandLine& aLine, const CliHooks& aHooks)
{
  return CallAndPrint({ .mTarget = "/v1/configuration/in-force" },
                      aLine,
                      aHooks,
                      [](std::ostream& aOut, const json& aBody) {
                        aOut << "in force everywhere: "
                             << CellText(aBody, "/in_force_everywhere") << '\n';
                        TextTable table({ "NODE", "VERSION" });
                        const json nodes = aBody.value("nodes", json::object());
                        for (const auto& [node, version] : nodes.items()) {
                          table.AddRow({ node, version.dump() });
                        }
                        table.Print(aOut);
                      });
}

ExitCode
PatchStatus(const Operands& aOperands,
            const CommandLine& aLine,
            const CliHooks& aHooks)
{
  return CallAndPrint(
    { .mTarget = "/v1/configuration/patches/" + EncodePart(aOperands[0]) },
    aLine,
    aHooks,
    [](std::ostream& aOut, const json& aBody) {
      PrintRows(aOut,
                json::array({ aBody }),
                { { "VERDICT", "/verdict" },
                  { "VERSION", "/version" },
                  { "PATCH", "/patch_id" },
                  { "DETAIL", "/detail" } });
    });
}

} // namespace

std::vector<Verb>
ConfigurationVerbs()
{
  return {
    { .mName = "config show",
      .mSummary = "Show the configuration in force on the node.",
      .mRun = Show },
    { .mName = "config apply",
      .mSynopsis = "FILE --base N [--patch_id ID] [--author NAME]",
      .mSummary = "Apply a JSON merge patch (with comments) against a version.",
      .mDetails = "0 in history, 6 another patch since the base touches the "
                  "same member, 8 not a valid configuration, 4 not known yet: "
                  "ask with config patch-status. A patch id is made when none "
                  "is given; applying the same id again changes nothing.",
      .mOperands = 1,
      .mRun = Apply },
    { .mName = "config history",
      .mSynopsis = "[--after N]",
      .mSummary = "List the patches accepted after a version, oldest first.",
      .mRun = History },
    { .mName = "config in-force",
      .mSummary = "Show which version each node has in force.",
      .mRun = InForce },
    { .mName = "config patch-status",
      .mSynopsis = "ID",
      .mSummary = "Show what became of a patch.",
      .mOperands = 1,
      .mRun = PatchStatus }
  };
}

} // namespace oriolevane::cli
