// Reads the body of a submission and checks it against the configuration in
// force.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "protocol/types/requestspec.h"

namespace oriolevane::gateway {

struct Submission
{
  protocol::RequestSpec mSpec;
  // The caller gave an idempotency key: an earlier submission under the same id
  // may exist.
  bool mHasKey = false;
};

// aKey is the Idempotency-Key header, empty when there is none; then the id is
// made fresh from aFreshId. InvalidArgument lists every problem with its line
// and path.
absl::StatusOr<Submission>
ParseSubmission(std::string_view aBody,
                const std::string& aKey,
                const std::string& aFreshId);

// The id that a team's idempotency key stands for.
RequestId
RequestIdOf(const TeamId& aTeam, std::string_view aKey);

} // namespace oriolevane::gateway
