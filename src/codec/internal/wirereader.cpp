#include "codec/internal/wirereader.h"

#include <fmt/format.h>

namespace oriolevane::codec {

namespace {

constexpr std::size_t kMaxIdBytes = 1024;
constexpr std::size_t kMaxListItems = 65536;
constexpr std::int64_t kMostMilliseconds = 100LL * 365 * 24 * 3600 * 1000;
constexpr std::int64_t kMostAmount = std::int64_t{ 1 } << 50U;

bool
IsWithin(std::int64_t aValue, std::int64_t aMost)
{
  return aValue >= -aMost && aValue <= aMost;
}

} // namespace

WireReader::WireReader(std::size_t aFrameBytes)
  : mBytesLeft(aFrameBytes)
{
}

void
WireReader::Fail(std::string_view aField, std::string_view aFault)
{
  if (mResult.ok()) {
    mResult = absl::InvalidArgumentError(fmt::format("{}: {}", aField, aFault));
  }
}

bool
WireReader::CheckCount(std::size_t aCount, std::string_view aField)
{
  if (aCount > kMaxListItems) {
    Fail(aField, "too many elements");
    return false;
  }
  return true;
}

bool
WireReader::Spend(std::size_t aBytes, std::string_view aField)
{
  if (aBytes > mBytesLeft) {
    Fail(aField, "more bytes than the frame has");
    return false;
  }
  mBytesLeft -= aBytes;
  return mResult.ok();
}

std::string
WireReader::Id(const flatbuffers::String* aText, std::string_view aField)
{
  std::string id = OptionalId(aText, aField);
  if (id.empty()) {
    Fail(aField, "missing");
  }
  return id;
}

std::string
WireReader::OptionalId(const flatbuffers::String* aText,
                       std::string_view aField)
{
  if (aText != nullptr && aText->size() > kMaxIdBytes) {
    Fail(aField, "too long");
    return {};
  }
  return Text(aText, aField);
}

std::string
WireReader::Text(const flatbuffers::String* aText, std::string_view aField)
{
  if (aText == nullptr || !Spend(aText->size(), aField)) {
    return {};
  }
  return aText->str();
}

std::string
WireReader::Bytes(const flatbuffers::Vector<std::uint8_t>* aBytes,
                  std::string_view aField)
{
  if (aBytes == nullptr || !Spend(aBytes->size(), aField)) {
    return {};
  }
  return { reinterpret_cast<const char*>(aBytes->data()), aBytes->size() };
}

std::chrono::milliseconds
WireReader::Time(std::int64_t aMilliseconds, std::string_view aField)
{
  if (!IsWithin(aMilliseconds, kMostMilliseconds)) {
    Fail(aField, "time out of range");
    return {};
  }
  return std::chrono::milliseconds(aMilliseconds);
}

std::optional<std::chrono::milliseconds>
WireReader::OptionalTime(flatbuffers::Optional<std::int64_t> aMilliseconds,
                         std::string_view aField)
{
  if (!aMilliseconds.has_value()) {
    return std::nullopt;
  }
  return Time(*aMilliseconds, aField);
}

Resources
WireReader::Amounts(const wire::Resources* aAmounts, std::string_view aField)
{
  if (aAmounts == nullptr) {
    return {};
  }
  const Resources amounts{ .mMilliCores = aAmounts->milli_cores(),
                           .mMemoryMiB = aAmounts->memory_mib(),
                           .mAccelerators = aAmounts->accelerators(),
                           .mSlots = aAmounts->slots() };
  if (!IsWithin(amounts.mMilliCores, kMostAmount) ||
      !IsWithin(amounts.mMemoryMiB, kMostAmount) ||
      !IsWithin(amounts.mAccelerators, kMostAmount) ||
      !IsWithin(amounts.mSlots, kMostAmount)) {
    Fail(aField, "amount out of range");
    return {};
  }
  return amounts;
}

protocol::Route
WireReader::Route(const wire::Route* aRoute)
{
  if (aRoute == nullptr) {
    Fail("route", "missing");
    return {};
  }
  return { .mPartition = PartitionId(aRoute->partition()),
           .mShard = ShardId(aRoute->shard()),
           .mSenderEpoch = Epoch(aRoute->sender_epoch()),
           .mSequence = aRoute->sequence() };
}

protocol::TaskKey
WireReader::Task(const wire::TaskKey* aTask)
{
  if (aTask == nullptr) {
    Fail("task", "missing");
    return {};
  }
  return { .mRequest = RequestId(Id(aTask->request(), "task.request")),
           .mIndex = aTask->index(),
           .mAttempt = aTask->attempt() };
}

protocol::TaskState
WireReader::State(std::uint8_t aState)
{
  return Enum(aState, protocol::TaskState::Lost, "state");
}

std::vector<std::uint32_t>
WireReader::Numbers(const flatbuffers::Vector<std::uint32_t>* aNumbers,
                    std::string_view aField)
{
  return List(aNumbers, aField, [](std::uint32_t aNumber) { return aNumber; });
}

} // namespace oriolevane::codec
