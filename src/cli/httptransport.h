// Sends calls over HTTP.
#pragma once

#include <string>

#include "cli/types/apicall.h"

namespace oriolevane::cli {

// One try over a new connection. NotSent as long as the connection could not be
// made.
ApiAnswer
SendOverHttp(const std::string& aAddress, const ApiCall& aCall);

} // namespace oriolevane::cli
