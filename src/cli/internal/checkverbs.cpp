#include "cli/internal/verbs.h"
#include "configuration/cellpolicyreader.h"
#include "settings/nodesettingsreader.h"

namespace oriolevane::cli {

using Operands = std::vector<std::string>;

namespace {

ExitCode
Check(const std::string& aPath,
      const CliHooks& aHooks,
      const std::function<absl::Status(const std::string&)>& aParse)
{
  const absl::StatusOr<std::string> text = aHooks.mReadFile(aPath);
  if (!text.ok()) {
    aHooks.mErr << text.status().message() << '\n';
    return ExitCode::Usage;
  }
  const absl::Status status = aParse(*text);
  if (!status.ok()) {
    aHooks.mErr << aPath << " is not valid:\n" << status.message() << '\n';
    return ExitCode::Invalid;
  }
  aHooks.mOut << aPath << " is valid\n";
  return ExitCode::Ok;
}

ExitCode
CheckSettings(const Operands& aOperands,
              const CommandLine&,
              const CliHooks& aHooks)
{
  return Check(aOperands[0], aHooks, [](const std::string& aText) {
    return settings::ParseNodeSettings(aText).status();
  });
}

ExitCode
CheckConfiguration(const Operands& aOperands,
                   const CommandLine&,
                   const CliHooks& aHooks)
{
  return Check(aOperands[0], aHooks, [](const std::string& aText) {
    return configuration::ParseCellPolicy(aText, ConfigurationVersion(1))
      .status();
  });
}

} // namespace

std::vector<Verb>
CheckVerbs()
{
  return { { .mName = "check-settings",
             .mSynopsis = "FILE",
             .mSummary = "Check the settings file of a node, without any node.",
             .mDetails =
               "0 valid, 8 not valid: every problem is printed with its line "
               "and key.",
             .mOperands = 1,
             .mRun = CheckSettings },
           { .mName = "check-config",
             .mSynopsis = "FILE",
             .mSummary = "Check a whole configuration body, without any node.",
             .mDetails =
               "0 valid, 8 not valid: every problem is printed with its line "
               "and key. A patch that removes members (null) is checked by "
               "config apply only.",
             .mOperands = 1,
             .mRun = CheckConfiguration } };
}

} // namespace oriolevane::cli
