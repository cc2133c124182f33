// What an answer means for the exit code.
#pragma once

#include <nlohmann/json.hpp>

#include "cli/types/apicall.h"
#include "cli/types/exitcode.h"

namespace oriolevane::cli {

// The body as JSON; null when it is not.
nlohmann::json
BodyOf(const ApiAnswer& aAnswer);

// The last part of a problem's type, e.g. "overloaded"; empty when the body is
// not a problem.
std::string
ProblemType(const nlohmann::json& aBody);

// A pending request is NotKnownYet. A lost answer is Unreachable to a call
// without effects ("GET"), else NotKnownYet.
ExitCode
CodeOf(const ApiCall& aCall, const ApiAnswer& aAnswer);

} // namespace oriolevane::cli
