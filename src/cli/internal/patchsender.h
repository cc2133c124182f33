// Sends patches to the configuration.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "cli/types/clihooks.h"
#include "cli/types/commandline.h"
#include "cli/types/exitcode.h"

namespace oriolevane::cli {

// Repeatable, since a patch id is in history at most once.
ExitCode
SendPatch(const nlohmann::json& aPatch,
          std::uint64_t aBase,
          const CommandLine& aLine,
          const CliHooks& aHooks);

// Reads the configuration in force and sends the patch that aMake makes from
// its body, against its version; sends nothing when the patch is empty or none.
ExitCode
PatchFromCurrent(const std::function<
                   std::optional<nlohmann::json>(const nlohmann::json&)>& aMake,
                 const CommandLine& aLine,
                 const CliHooks& aHooks);

// A file of JSON with comments, read and parsed; none after a problem, which is
// printed and whose code is put into aCode.
std::optional<nlohmann::json>
ReadJsonFile(const std::string& aPath, const CliHooks& aHooks, ExitCode& aCode);

} // namespace oriolevane::cli
