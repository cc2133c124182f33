#include "settings/objectreader.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "settings/boundedjson.h"

namespace oriolevane::settings {

using nlohmann::json;

namespace {

constexpr std::size_t kMaxTextBytes = 1024;
constexpr std::int64_t kMaxPort = 65'535;

const json kEmptyObject = json::object();

bool
IsAddress(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos || colon == 0 ||
      colon + 1 >= aText.size()) {
    return false;
  }
  const std::string_view port = aText.substr(colon + 1);
  if (port.size() > 5 || !std::all_of(port.begin(), port.end(), [](char aByte) {
        return aByte >= '0' && aByte <= '9';
      })) {
    return false;
  }
  const std::string_view host = aText.substr(0, colon);
  const bool hostOk = host.find_first_not_of("0123456789abcdefABCDEF.:[]") ==
                      std::string_view::npos;
  return hostOk && std::stol(std::string(port)) <= kMaxPort;
}

std::string
JoinWords(const std::vector<std::string>& aWords)
{
  std::string text;
  for (const std::string& word : aWords) {
    text += (text.empty() ? "" : ", ") + word;
  }
  return text;
}

} // namespace

ObjectReader::ObjectReader(const json& aObject,
                           std::string aPath,
                           ProblemList& aProblems)
  : mObject(aObject)
  , mPath(std::move(aPath))
  , mProblems(aProblems)
{
}

const json*
ObjectReader::Find(std::string_view aKey, bool aRequired)
{
  mRead.insert(std::string(aKey));
  const auto found = mObject.find(std::string(aKey));
  if (found != mObject.end()) {
    return &*found;
  }
  if (aRequired) {
    Reject(aKey, "is required");
  }
  return nullptr;
}

void
ObjectReader::Reject(std::string_view aKey, std::string aMessage)
{
  mProblems.Add(JoinPath(mPath, aKey), std::move(aMessage));
}

std::string
ObjectReader::Text(std::string_view aKey,
                   const std::optional<std::string>& aFallback)
{
  const json* value = Find(aKey, !aFallback.has_value());
  if (value == nullptr) {
    return aFallback.value_or("");
  }
  if (!value->is_string() ||
      value->get_ref<const std::string&>().size() > kMaxTextBytes) {
    Reject(aKey,
           fmt::format("must be a text of at most {} bytes", kMaxTextBytes));
    return aFallback.value_or("");
  }
  return value->get<std::string>();
}

std::string
ObjectReader::Word(std::string_view aKey,
                   const std::vector<std::string>& aAllowed,
                   const std::optional<std::string>& aFallback)
{
  std::string word = Text(aKey, aFallback);
  if (mObject.contains(std::string(aKey)) &&
      std::find(aAllowed.begin(), aAllowed.end(), word) == aAllowed.end()) {
    Reject(aKey, fmt::format("must be one of {}", JoinWords(aAllowed)));
    return aFallback.value_or(aAllowed.front());
  }
  return word;
}

std::string
ObjectReader::Address(std::string_view aKey,
                      const std::optional<std::string>& aFallback)
{
  std::string address = Text(aKey, aFallback);
  if (mObject.contains(std::string(aKey)) && !IsAddress(address)) {
    Reject(aKey, "must be an address IP:PORT, e.g. 127.0.0.1:8080");
  }
  return address;
}

std::int64_t
ObjectReader::Integer(std::string_view aKey,
                      Range<std::int64_t> aRange,
                      std::optional<std::int64_t> aFallback)
{
  const json* value = Find(aKey, !aFallback.has_value());
  if (value == nullptr) {
    return aFallback.value_or(0);
  }
  const bool tooLarge =
    value->is_number_unsigned() &&
    value->get<std::uint64_t>() > static_cast<std::uint64_t>(aRange.mMost);
  if (!value->is_number_integer() || tooLarge ||
      value->get<std::int64_t>() < aRange.mLeast ||
      value->get<std::int64_t>() > aRange.mMost) {
    Reject(aKey,
           fmt::format("must be a whole number from {} to {}",
                       aRange.mLeast,
                       aRange.mMost));
    return aFallback.value_or(aRange.mLeast);
  }
  return value->get<std::int64_t>();
}

double
ObjectReader::Number(std::string_view aKey,
                     Range<double> aRange,
                     std::optional<double> aFallback)
{
  const json* value = Find(aKey, !aFallback.has_value());
  if (value == nullptr) {
    return aFallback.value_or(0);
  }
  if (!value->is_number() || value->get<double>() < aRange.mLeast ||
      value->get<double>() > aRange.mMost) {
    Reject(aKey,
           fmt::format(
             "must be a number from {} to {}", aRange.mLeast, aRange.mMost));
    return aFallback.value_or(aRange.mLeast);
  }
  return value->get<double>();
}

bool
ObjectReader::Boolean(std::string_view aKey, std::optional<bool> aFallback)
{
  const json* value = Find(aKey, !aFallback.has_value());
  if (value == nullptr) {
    return aFallback.value_or(false);
  }
  if (!value->is_boolean()) {
    Reject(aKey, "must be true or false");
    return aFallback.value_or(false);
  }
  return value->get<bool>();
}

std::chrono::milliseconds
ObjectReader::Milliseconds(std::string_view aKey,
                           Range<std::chrono::milliseconds> aRange,
                           std::optional<std::chrono::milliseconds> aFallback)
{
  std::optional<std::int64_t> fallback;
  if (aFallback.has_value()) {
    fallback = aFallback->count();
  }
  return std::chrono::milliseconds(
    Integer(aKey, { aRange.mLeast.count(), aRange.mMost.count() }, fallback));
}

std::vector<std::string>
ObjectReader::TextList(std::string_view aKey)
{
  std::vector<std::string> texts;
  const json* value = Find(aKey, false);
  if (value == nullptr) {
    return texts;
  }
  if (!value->is_array()) {
    Reject(aKey, "must be a list of texts");
    return texts;
  }
  for (std::size_t index = 0; index < value->size(); ++index) {
    const json& item = (*value)[index];
    if (item.is_string() &&
        item.get_ref<const std::string&>().size() <= kMaxTextBytes) {
      texts.push_back(item.get<std::string>());
    } else {
      Reject(fmt::format("{}[{}]", aKey, index),
             fmt::format("must be a text of at most {} bytes", kMaxTextBytes));
    }
  }
  return texts;
}

std::string
ObjectReader::JsonText(std::string_view aKey)
{
  const json* value = Find(aKey, false);
  if (value == nullptr) {
    return "";
  }
  return value->is_string() ? value->get<std::string>() : value->dump();
}

void
ObjectReader::Object(std::string_view aKey,
                     const std::function<void(ObjectReader&)>& aBody)
{
  const json* value = Find(aKey, false);
  if (value != nullptr && !value->is_object()) {
    Reject(aKey, "must be an object");
    return;
  }
  ObjectReader nested(
    value == nullptr ? kEmptyObject : *value, JoinPath(mPath, aKey), mProblems);
  aBody(nested);
  nested.Finish();
}

void
ObjectReader::EachObject(
  std::string_view aKey,
  const std::function<void(const std::string&, ObjectReader&)>& aBody)
{
  const json* value = Find(aKey, false);
  if (value == nullptr) {
    return;
  }
  if (!value->is_object()) {
    Reject(aKey, "must be an object");
    return;
  }
  const std::string path = JoinPath(mPath, aKey);
  for (const auto& [name, member] : value->items()) {
    if (!member.is_object()) {
      mProblems.Add(JoinPath(path, name), "must be an object");
      continue;
    }
    ObjectReader nested(member, JoinPath(path, name), mProblems);
    aBody(name, nested);
    nested.Finish();
  }
}

std::vector<std::string>
ObjectReader::Keys() const
{
  std::vector<std::string> keys;
  for (const auto& [name, member] : mObject.items()) {
    keys.push_back(name);
  }
  return keys;
}

void
ObjectReader::Finish()
{
  for (const auto& [name, member] : mObject.items()) {
    if (mRead.find(name) == mRead.end()) {
      Reject(name, "is not a known key");
    }
  }
}

absl::Status
ReadSettingsText(std::string_view aText,
                 const std::function<void(ObjectReader&)>& aBody)
{
  absl::StatusOr<json> text = ParseBoundedJson(aText);
  if (!text.ok()) {
    return text.status();
  }
  const json& parsed = *text;
  if (!parsed.is_object()) {
    return absl::InvalidArgumentError(
      "line 1: the settings must be one JSON object");
  }
  ProblemList problems{ LineIndex(aText) };
  ObjectReader reader(parsed, "", problems);
  aBody(reader);
  reader.Finish();
  return problems.ToStatus();
}

} // namespace oriolevane::settings
