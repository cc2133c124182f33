// The verbs of the command line.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "cli/types/clihooks.h"
#include "cli/types/commandline.h"
#include "cli/types/exitcode.h"

namespace oriolevane::cli {

struct Verb
{
  // One or two words, e.g. "submit" or "config show".
  std::string mName;
  // Operands and flags, e.g. "FILE [--key K] [--wait]".
  std::string mSynopsis;
  std::string mSummary;
  // Further sentences for help on this verb; may be empty.
  std::string mDetails;
  // Operands that must follow the name.
  std::size_t mOperands = 0;
  // Operands only, without the verb's own words.
  std::function<ExitCode(const std::vector<std::string>&,
                         const CommandLine&,
                         const CliHooks&)>
    mRun;
};

std::vector<Verb>
RequestVerbs();
std::vector<Verb>
ConfigurationVerbs();
// Workloads, teams and capacity: single members of the configuration.
std::vector<Verb>
MemberVerbs();
std::vector<Verb>
DrainVerbs();
std::vector<Verb>
ViewVerbs();
// Offline checks of files.
std::vector<Verb>
CheckVerbs();

// All of the above, in the order of the help.
const std::vector<Verb>&
AllVerbs();

// Help on one verb, or on all whose first word it is; the overview when aName
// is empty. Usage when there is no such verb.
ExitCode
PrintHelp(const std::string& aName, const CliHooks& aHooks);

} // namespace oriolevane::cli
