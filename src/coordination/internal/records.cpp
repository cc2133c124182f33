#include "coordination/internal/records.h"

#include <utility>

#include "coordination/internal/cborfields.h"
#include "framework/stablehash.h"

namespace oriolevane::coordination::internal {

namespace {

// The kind as written to the journal. The variant's index is not used, so that
// reordering the variant does not change the format.
enum class RecordKind : std::uint8_t
{
  Void,
  Accepted,
  Dispatched,
  Cancelled,
  Finished,
  Forgotten
};

struct RecordToJson
{
  std::uint64_t mSequence;

  Json EncodeHeader(RecordKind aKind) const
  {
    return Json::array({ mSequence, static_cast<unsigned>(aKind) });
  }
  Json operator()(const VoidRecord&) const
  {
    return EncodeHeader(RecordKind::Void);
  }
  Json operator()(const AcceptedRecord& aRecord) const
  {
    Json json = EncodeHeader(RecordKind::Accepted);
    json.push_back(SpecToJson(aRecord.mSpec));
    json.push_back(DispatchedToJson(aRecord.mTasks));
    return json;
  }
  Json operator()(const DispatchedRecord& aRecord) const
  {
    Json json = EncodeHeader(RecordKind::Dispatched);
    json.push_back(Bytes(aRecord.mId.mValue));
    json.push_back(DispatchedToJson(aRecord.mTasks));
    return json;
  }
  Json operator()(const CancelledRecord& aRecord) const
  {
    Json json = EncodeHeader(RecordKind::Cancelled);
    json.push_back(Bytes(aRecord.mId.mValue));
    return json;
  }
  Json operator()(const FinishedRecord& aRecord) const
  {
    Json json = EncodeHeader(RecordKind::Finished);
    json.push_back(StatusToJson(aRecord.mStatus));
    return json;
  }
  Json operator()(const ForgottenRecord& aRecord) const
  {
    Json json = EncodeHeader(RecordKind::Forgotten);
    json.push_back(aRecord.mUpTo);
    return json;
  }
};

Record
ReadRecord(RecordKind aKind, FieldReader& aReader)
{
  switch (aKind) {
    case RecordKind::Accepted:
      return AcceptedRecord{ .mSpec = ReadSpec(aReader),
                             .mTasks = ReadDispatched(aReader) };
    case RecordKind::Dispatched:
      return DispatchedRecord{ .mId = RequestId(aReader.ByteString()),
                               .mTasks = ReadDispatched(aReader) };
    case RecordKind::Cancelled:
      return CancelledRecord{ RequestId(aReader.ByteString()) };
    case RecordKind::Finished:
      return FinishedRecord{ ReadStatus(aReader) };
    case RecordKind::Forgotten:
      return ForgottenRecord{ aReader.Integer<std::uint64_t>() };
    case RecordKind::Void:
      break;
  }
  return VoidRecord{};
}

} // namespace

Json
DispatchedToJson(const std::vector<DispatchedTask>& aTasks)
{
  Json tasks = Json::array();
  for (const DispatchedTask& task : aTasks) {
    tasks.push_back(
      Json::array({ task.mIndex, task.mAttempt, task.mShard.mValue }));
  }
  return tasks;
}

std::vector<DispatchedTask>
ReadDispatched(FieldReader& aReader)
{
  std::vector<DispatchedTask> tasks;
  for (const Json& element : aReader.Array()) {
    FieldReader task(element);
    tasks.push_back({ .mIndex = task.Integer<std::uint32_t>(),
                      .mAttempt = task.Integer<std::uint32_t>(),
                      .mShard = ShardId(task.Integer<std::uint32_t>()) });
    if (!task.Complete()) {
      aReader.Fail();
      break;
    }
  }
  return tasks;
}

std::string
EncodeRecord(std::uint64_t aSequence, const Record& aRecord)
{
  return ToCbor(std::visit(RecordToJson{ aSequence }, aRecord));
}

absl::StatusOr<NumberedRecord>
DecodeRecord(std::string_view aBytes)
{
  const Json json = FromCbor(aBytes);
  FieldReader reader(json);
  NumberedRecord numbered;
  numbered.mSequence = reader.Integer<std::uint64_t>();
  const RecordKind kind = reader.Value(RecordKind::Forgotten);
  numbered.mRecord = ReadRecord(kind, reader);
  if (!reader.Complete()) {
    return absl::DataLossError("not a record of a request partition");
  }
  return numbered;
}

std::uint64_t
SpecDigest(const protocol::RequestSpec& aSpec)
{
  protocol::RequestSpec spec = aSpec;
  spec.mCallerWaits = false;
  return StableHash(ToCbor(SpecToJson(spec)));
}

} // namespace oriolevane::coordination::internal
