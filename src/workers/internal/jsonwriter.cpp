#include "workers/internal/jsonwriter.h"

#include <absl/strings/escaping.h>

namespace oriolevane::workers {

nlohmann::json
TaskToJson(const protocol::TaskKey& aTask)
{
  return { { "request", aTask.mRequest.mValue },
           { "index", aTask.mIndex },
           { "attempt", aTask.mAttempt } };
}

nlohmann::json
AmountsToJson(const Resources& aAmounts)
{
  return { { "milliCores", aAmounts.mMilliCores },
           { "memoryMiB", aAmounts.mMemoryMiB },
           { "accelerators", aAmounts.mAccelerators },
           { "slots", aAmounts.mSlots } };
}

std::string
BytesToJson(std::string_view aBytes)
{
  return absl::Base64Escape(absl::string_view(aBytes.data(), aBytes.size()));
}

absl::StatusOr<std::string>
WriteJson(const nlohmann::json& aObject)
{
  try {
    return aObject.dump();
  } catch (const nlohmann::json::type_error&) {
    return absl::InvalidArgumentError("an identifier is not UTF-8");
  }
}

} // namespace oriolevane::workers
