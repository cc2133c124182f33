// What callers read of a request's status.
#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "protocol/types/requeststatus.h"

namespace oriolevane::gateway {

// Words of the interface, e.g. "not_known_yet", "never_runnable", "running".
std::string_view
OutcomeWord(protocol::Outcome aOutcome);
std::string_view
ReasonWord(protocol::RefusalReason aReason);
std::string_view
TaskStateWord(protocol::TaskState aState);

// The text itself when it is UTF-8, else with each byte outside ASCII as "?".
std::string
ValidUtf8(std::string aText);

// An answer that is not valid UTF-8 is given as "answer_base64" instead of
// "answer".
nlohmann::json
StatusJson(const protocol::RequestStatus& aStatus);

} // namespace oriolevane::gateway
