// Makes a call at the first address that takes it.
#pragma once

#include "cli/types/apicall.h"
#include "cli/types/clihooks.h"
#include "cli/types/commandline.h"

namespace oriolevane::cli {

// Goes on to the next address after a call that was surely not sent, and after
// a lost answer only when the call is repeatable. When no address answered: as
// of a try that may have had an effect, if there was one.
ApiAnswer
CallApi(const CommandLine& aLine, const CliHooks& aHooks, ApiCall aCall);

// Percent-encodes one part of a path or query.
std::string
EncodePart(const std::string& aText);

} // namespace oriolevane::cli
