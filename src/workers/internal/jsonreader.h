// Reads typed fields out of a JSON object and remembers the first fault with
// the path of the field, e.g. "running[3].task.index: not a number".
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <string_view>

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

#include "framework/types/resources.h"
#include "protocol/types/taskkey.h"

namespace oriolevane::workers {

// Methods return a default value after a fault; look at the status at the end.
// The JSON value and the status must outlive the reader. Unknown fields are
// ignored, so that either side can add some.
class JsonReader
{
public:
  JsonReader(const nlohmann::json& aValue,
             std::string aPath,
             absl::Status& aStatus);

  bool Ok() const { return mStatus.ok(); }
  // An integer from 0 to aMost; the field must be there.
  std::uint64_t Number(
    std::string_view aKey,
    std::uint64_t aMost = std::numeric_limits<std::uint64_t>::max());
  std::uint32_t SmallNumber(std::string_view aKey);
  // Milliseconds, not negative, at most a hundred years.
  std::chrono::milliseconds Time(std::string_view aKey);
  // False when the field is missing.
  bool Flag(std::string_view aKey);
  // A text of 1 to kMaxIdBytes bytes.
  std::string Id(std::string_view aKey);
  // Like Id, but may be missing or empty.
  std::string OptionalId(std::string_view aKey);
  // Bytes in base64, at most kMaxAnswerBytes; empty when missing.
  std::string Bytes(std::string_view aKey);
  // Bounded at kMaxTasks elements; none when the field is missing.
  void ForEach(std::string_view aKey,
               const std::function<void(JsonReader&)>& aVisit);
  protocol::TaskKey Task(std::string_view aKey);
  Resources Amounts(std::string_view aKey);

  void Fail(std::string_view aKey, std::string_view aFault);

private:
  const nlohmann::json* Find(std::string_view aKey) const;
  const nlohmann::json* Require(std::string_view aKey);
  JsonReader Nested(std::string_view aKey);

  const nlohmann::json& mValue;
  std::string mPath;
  absl::Status& mStatus;
};

// Parses aText as one JSON object. Comments and other JSON values are faults.
absl::Status
ParseObject(std::string_view aText, nlohmann::json& aObject);

} // namespace oriolevane::workers
