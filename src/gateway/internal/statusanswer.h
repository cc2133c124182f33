// Turns outcomes into HTTP answers.
#pragma once

#include <string>

#include "configuration/types/patchrequest.h"
#include "gateway/types/httpexchange.h"
#include "protocol/types/requeststatus.h"

namespace oriolevane::gateway {

// To a submission. With a key of the caller's own, a refusal by a node that
// could not ask the owner of the key's record leaves open what an earlier
// submission did.
HttpAnswer
SubmitAnswer(const protocol::RequestStatus& aStatus, bool aHasKey);

// To a question about a request.
HttpAnswer
StatusAnswer(const protocol::RequestStatus& aStatus);

HttpAnswer
PatchAnswer(const std::string& aPatchId,
            const configuration::PatchOutcome& aOutcome);

} // namespace oriolevane::gateway
