// Runs one command of the operators' and callers' command line.
#pragma once

#include "cli/types/clihooks.h"
#include "cli/types/commandline.h"
#include "cli/types/exitcode.h"

namespace oriolevane::cli {

ExitCode
RunCommand(const CommandLine& aLine, const CliHooks& aHooks);

} // namespace oriolevane::cli
