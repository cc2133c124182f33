// Reads one JSON object key by key, checking type and range; what nobody asked
// for is an unknown key.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "settings/problemlist.h"

namespace oriolevane::settings {

// Both ends are allowed values.
template<typename Number>
struct Range
{
  Number mLeast = std::numeric_limits<Number>::lowest();
  Number mMost = std::numeric_limits<Number>::max();
};

// Every reading returns the fallback when the key is absent or wrong; a wrong
// one is added to the problems. Without a fallback an absent key is a problem
// too. Times are keyed by their unit, e.g. "renew_every_ms".
class ObjectReader
{
public:
  ObjectReader(const nlohmann::json& aObject,
               std::string aPath,
               ProblemList& aProblems);

  std::string Text(std::string_view aKey,
                   const std::optional<std::string>& aFallback = std::nullopt);
  // One of the allowed words.
  std::string Word(std::string_view aKey,
                   const std::vector<std::string>& aAllowed,
                   const std::optional<std::string>& aFallback = std::nullopt);
  // "IP:PORT"; port 0 lets the system choose.
  std::string Address(
    std::string_view aKey,
    const std::optional<std::string>& aFallback = std::nullopt);
  std::int64_t Integer(std::string_view aKey,
                       Range<std::int64_t> aRange,
                       std::optional<std::int64_t> aFallback = std::nullopt);
  double Number(std::string_view aKey,
                Range<double> aRange,
                std::optional<double> aFallback = std::nullopt);
  bool Boolean(std::string_view aKey,
               std::optional<bool> aFallback = std::nullopt);
  std::chrono::milliseconds Milliseconds(
    std::string_view aKey,
    Range<std::chrono::milliseconds> aRange,
    std::optional<std::chrono::milliseconds> aFallback = std::nullopt);
  std::vector<std::string> TextList(std::string_view aKey);
  // Any value: a text as it is, another value as JSON text; empty when absent.
  std::string JsonText(std::string_view aKey);
  // Calls aBody with the nested object; an absent one is read as empty, so that
  // its defaults apply.
  void Object(std::string_view aKey,
              const std::function<void(ObjectReader&)>& aBody);
  // Calls aBody for each member of the nested object, which must itself be an
  // object.
  void EachObject(
    std::string_view aKey,
    const std::function<void(const std::string&, ObjectReader&)>& aBody);
  // The keys of this object, in order, whether known or not.
  std::vector<std::string> Keys() const;
  // Adds a problem for a key of this object.
  void Reject(std::string_view aKey, std::string aMessage);
  // Reports the keys that were never read.
  void Finish();

private:
  const nlohmann::json* Find(std::string_view aKey, bool aRequired);

  const nlohmann::json& mObject;
  std::string mPath;
  ProblemList& mProblems;
  std::set<std::string, std::less<>> mRead;
};

// Parses JSON with comments and lets aBody read the top object. All problems
// come back in one InvalidArgument.
absl::Status
ReadSettingsText(std::string_view aText,
                 const std::function<void(ObjectReader&)>& aBody);

} // namespace oriolevane::settings
