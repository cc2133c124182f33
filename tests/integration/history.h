// Decides from what callers were told and what workers did whether the promises
// held; never from the system's own word.
#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "integration/caller.h"

namespace oriolevane::integration {

// The workers' own log of every start and end, in order of their common
// monotonic clock.
nlohmann::json
WorkerHistory(const Cell& aCell);

// One line for each promise that was broken; empty when all held.
std::vector<std::string>
FindViolations(const nlohmann::json& aEvents, const std::vector<Told>& aRecord);

// Fails the test with the violations, the seed and the place of the logs.
void
CheckPromises(const Cell& aCell, const Callers& aCallers, std::uint64_t aSeed);

} // namespace oriolevane::integration
