#include "journal/logcodec.h"

#include <vector>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include "framework/stablehash.h"

namespace oriolevane::journal {

namespace {

constexpr std::uint32_t kFormatMark = 0x314a4c4f;
constexpr std::size_t kRecordHeaderBytes = 12;
constexpr std::size_t kHashBytes = 8;

template<typename Number>
void
PutNumber(std::string& aTo, Number aNumber)
{
  for (std::size_t at = 0; at < sizeof(Number); ++at) {
    aTo += static_cast<char>((aNumber >> (8 * at)) & 0xffU);
  }
}

// Reads numbers and bytes from the front of a view; fails for good once
// something is missing.
class Reader
{
public:
  explicit Reader(std::string_view aBytes)
    : mRest(aBytes)
  {
  }

  template<typename Number>
  Number Take()
  {
    Number number = 0;
    const std::string_view bytes = TakeBytes(sizeof(Number));
    for (std::size_t at = 0; at < bytes.size(); ++at) {
      const auto byte = static_cast<unsigned char>(bytes[at]);
      number |= static_cast<Number>(byte) << (8 * at);
    }
    return number;
  }

  std::string_view TakeBytes(std::size_t aCount)
  {
    if (mFailed || aCount > mRest.size()) {
      mFailed = true;
      return {};
    }
    const std::string_view taken = mRest.substr(0, aCount);
    mRest.remove_prefix(aCount);
    return taken;
  }

  bool Failed() const { return mFailed; }
  bool AtEnd() const { return mRest.empty(); }

private:
  std::string_view mRest;
  bool mFailed = false;
};

absl::Status
Unreadable(std::string_view aWhy)
{
  return absl::DataLossError("unreadable log row: " + std::string(aWhy));
}

bool
ParsePadded(std::string_view aText, std::size_t aDigits, std::uint64_t& aTo)
{
  const std::string text(aText);
  return text.size() == aDigits && text.front() != '+' &&
         absl::SimpleAtoi(text, &aTo);
}

absl::StatusOr<LogBatch>
ParseRecords(Reader& aReader)
{
  LogBatch batch;
  batch.mPreviousSequence = aReader.Take<std::uint64_t>();
  const auto count = aReader.Take<std::uint32_t>();
  std::uint64_t last = batch.mPreviousSequence;
  for (std::uint32_t at = 0; at < count; ++at) {
    LogRecord record{ .mSequence = aReader.Take<std::uint64_t>() };
    const auto size = aReader.Take<std::uint32_t>();
    record.mBytes = aReader.TakeBytes(size);
    if (aReader.Failed()) {
      return Unreadable("record cut short");
    }
    if (record.mSequence <= last) {
      return Unreadable("sequences do not rise");
    }
    last = record.mSequence;
    batch.mRecords.push_back(std::move(record));
  }
  if (batch.mRecords.empty() || !aReader.AtEnd()) {
    return Unreadable("wrong number of records");
  }
  return batch;
}

} // namespace

std::string
LogPrefix(PartitionId aPartition)
{
  return fmt::format("log/{:05}/", aPartition.mValue);
}

std::string
LogEpochStart(PartitionId aPartition, Epoch aEpoch)
{
  return fmt::format("{}{:012}/", LogPrefix(aPartition), aEpoch.mValue);
}

std::string
EncodeLogRowKey(const LogRowKey& aKey)
{
  return fmt::format("{}{:020}",
                     LogEpochStart(aKey.mPartition, aKey.mEpoch),
                     aKey.mFirstSequence);
}

absl::StatusOr<LogRowKey>
ParseLogRowKey(std::string_view aKey)
{
  const std::vector<std::string> parts = absl::StrSplit(std::string(aKey), '/');
  std::uint64_t partition = 0;
  LogRowKey key;
  if (parts.size() != 4 || parts[0] != "log" ||
      !ParsePadded(parts[1], 5, partition) ||
      !ParsePadded(parts[2], 12, key.mEpoch.mValue) ||
      !ParsePadded(parts[3], 20, key.mFirstSequence)) {
    return Unreadable(fmt::format("key {}", aKey));
  }
  key.mPartition = PartitionId(static_cast<std::uint32_t>(partition));
  return key;
}

std::size_t
EncodedRecordBytes(const LogRecord& aRecord)
{
  return kRecordHeaderBytes + aRecord.mBytes.size();
}

std::string
EncodeLogBatch(const LogBatch& aBatch)
{
  std::string bytes;
  PutNumber(bytes, kFormatMark);
  PutNumber(bytes, aBatch.mPreviousSequence);
  PutNumber(bytes, static_cast<std::uint32_t>(aBatch.mRecords.size()));
  for (const LogRecord& record : aBatch.mRecords) {
    PutNumber(bytes, record.mSequence);
    PutNumber(bytes, static_cast<std::uint32_t>(record.mBytes.size()));
    bytes += record.mBytes;
  }
  PutNumber(bytes, StableHash(bytes));
  return bytes;
}

absl::StatusOr<LogBatch>
ParseLogBatch(std::string_view aBytes)
{
  if (aBytes.size() < kEncodedBatchBytes) {
    return Unreadable("too short");
  }
  const std::size_t contentBytes = aBytes.size() - kHashBytes;
  const std::string_view content = aBytes.substr(0, contentBytes);
  Reader hash(aBytes.substr(contentBytes));
  if (hash.Take<std::uint64_t>() != StableHash(content)) {
    return Unreadable("checksum differs");
  }
  Reader reader(content);
  if (reader.Take<std::uint32_t>() != kFormatMark) {
    return Unreadable("unknown format");
  }
  return ParseRecords(reader);
}

std::string
SnapshotObjectName(PartitionId aPartition,
                   Epoch aEpoch,
                   std::uint64_t aSequence)
{
  return fmt::format("snapshots/{:05}/{:012}/{:020}",
                     aPartition.mValue,
                     aEpoch.mValue,
                     aSequence);
}

} // namespace oriolevane::journal
