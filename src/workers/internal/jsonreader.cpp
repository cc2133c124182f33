#include "workers/internal/jsonreader.h"

#include <utility>

#include <absl/strings/escaping.h>
#include <fmt/format.h>

#include "workers/types/workerjsonlimits.h"

namespace oriolevane::workers {

namespace {

constexpr std::chrono::hours kMostTime{ 24 * 365 * 100 };
constexpr std::int64_t kMostAmount = std::int64_t{ 1 } << 50U;

const nlohmann::json&
EmptyObject()
{
  static const nlohmann::json empty = nlohmann::json::object();
  return empty;
}

} // namespace

JsonReader::JsonReader(const nlohmann::json& aValue,
                       std::string aPath,
                       absl::Status& aStatus)
  : mValue(aValue)
  , mPath(std::move(aPath))
  , mStatus(aStatus)
{
  if (!mValue.is_object()) {
    Fail("", "not an object");
  }
}

void
JsonReader::Fail(std::string_view aKey, std::string_view aFault)
{
  if (!mStatus.ok()) {
    return;
  }
  const std::string_view dot = mPath.empty() || aKey.empty() ? "" : ".";
  mStatus = absl::InvalidArgumentError(
    fmt::format("{}{}{}: {}", mPath, dot, aKey, aFault));
}

const nlohmann::json*
JsonReader::Find(std::string_view aKey) const
{
  if (!mValue.is_object()) {
    return nullptr;
  }
  const auto found = mValue.find(aKey);
  return found == mValue.end() ? nullptr : &*found;
}

const nlohmann::json*
JsonReader::Require(std::string_view aKey)
{
  const nlohmann::json* found = Find(aKey);
  if (found == nullptr) {
    Fail(aKey, "missing");
  }
  return found;
}

std::uint64_t
JsonReader::Number(std::string_view aKey, std::uint64_t aMost)
{
  const nlohmann::json* found = Require(aKey);
  if (found == nullptr) {
    return 0;
  }
  if (!found->is_number_unsigned()) {
    Fail(aKey, "not a non-negative integer");
    return 0;
  }
  const auto number = found->get<std::uint64_t>();
  if (number > aMost) {
    Fail(aKey, fmt::format("above {}", aMost));
    return 0;
  }
  return number;
}

std::uint32_t
JsonReader::SmallNumber(std::string_view aKey)
{
  return static_cast<std::uint32_t>(
    Number(aKey, std::numeric_limits<std::uint32_t>::max()));
}

std::chrono::milliseconds
JsonReader::Time(std::string_view aKey)
{
  const auto most =
    std::chrono::duration_cast<std::chrono::milliseconds>(kMostTime).count();
  return std::chrono::milliseconds(
    Number(aKey, static_cast<std::uint64_t>(most)));
}

bool
JsonReader::Flag(std::string_view aKey)
{
  const nlohmann::json* found = Find(aKey);
  if (found == nullptr) {
    return false;
  }
  if (!found->is_boolean()) {
    Fail(aKey, "not a boolean");
    return false;
  }
  return found->get<bool>();
}

std::string
JsonReader::Id(std::string_view aKey)
{
  if (Require(aKey) == nullptr) {
    return {};
  }
  std::string text = OptionalId(aKey);
  if (text.empty()) {
    Fail(aKey, "empty");
  }
  return text;
}

std::string
JsonReader::OptionalId(std::string_view aKey)
{
  const nlohmann::json* found = Find(aKey);
  if (found == nullptr) {
    return {};
  }
  if (!found->is_string()) {
    Fail(aKey, "not a string");
    return {};
  }
  const auto& text = found->get_ref<const std::string&>();
  if (text.size() > kMaxIdBytes) {
    Fail(aKey, fmt::format("longer than {} bytes", kMaxIdBytes));
    return {};
  }
  return text;
}

std::string
JsonReader::Bytes(std::string_view aKey)
{
  const nlohmann::json* found = Find(aKey);
  if (found == nullptr) {
    return {};
  }
  std::string bytes;
  if (!found->is_string() ||
      !absl::Base64Unescape(found->get_ref<const std::string&>(), &bytes)) {
    Fail(aKey, "not base64");
    return {};
  }
  if (bytes.size() > kMaxAnswerBytes) {
    Fail(aKey, fmt::format("longer than {} bytes", kMaxAnswerBytes));
    return {};
  }
  return bytes;
}

void
JsonReader::ForEach(std::string_view aKey,
                    const std::function<void(JsonReader&)>& aVisit)
{
  const nlohmann::json* found = Find(aKey);
  if (found == nullptr) {
    return;
  }
  if (!found->is_array() || found->size() > kMaxTasks) {
    Fail(aKey, fmt::format("not an array of at most {} elements", kMaxTasks));
    return;
  }
  const std::string_view dot = mPath.empty() ? "" : ".";
  std::size_t index = 0;
  for (const nlohmann::json& element : *found) {
    JsonReader reader(
      element, fmt::format("{}{}{}[{}]", mPath, dot, aKey, index++), mStatus);
    if (!Ok()) {
      return;
    }
    aVisit(reader);
  }
}

JsonReader
JsonReader::Nested(std::string_view aKey)
{
  const nlohmann::json* found = Require(aKey);
  const std::string_view dot = mPath.empty() ? "" : ".";
  return { found == nullptr ? EmptyObject() : *found,
           fmt::format("{}{}{}", mPath, dot, aKey),
           mStatus };
}

protocol::TaskKey
JsonReader::Task(std::string_view aKey)
{
  JsonReader nested = Nested(aKey);
  protocol::TaskKey task;
  task.mRequest = RequestId(nested.Id("request"));
  task.mIndex = nested.SmallNumber("index");
  task.mAttempt = nested.SmallNumber("attempt");
  return task;
}

Resources
JsonReader::Amounts(std::string_view aKey)
{
  JsonReader nested = Nested(aKey);
  const auto amount = [&nested](std::string_view aName) {
    return static_cast<std::int64_t>(nested.Number(aName, kMostAmount));
  };
  Resources amounts;
  amounts.mMilliCores = amount("milliCores");
  amounts.mMemoryMiB = amount("memoryMiB");
  amounts.mAccelerators = amount("accelerators");
  amounts.mSlots = amount("slots");
  return amounts;
}

absl::Status
ParseObject(std::string_view aText, nlohmann::json& aObject)
{
  if (aText.size() > kMaxBodyBytes) {
    return absl::InvalidArgumentError(
      fmt::format("body: longer than {} bytes", kMaxBodyBytes));
  }
  aObject = nlohmann::json::parse(aText, nullptr, false);
  if (aObject.is_discarded()) {
    return absl::InvalidArgumentError("body: not JSON");
  }
  if (!aObject.is_object()) {
    return absl::InvalidArgumentError("body: not an object");
  }
  return absl::OkStatus();
}

} // namespace oriolevane::workers
