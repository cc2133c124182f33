#include "coordination/internal/cborfields.h"

#include <utility>

namespace oriolevane::coordination::internal {

namespace {

const Json kEmptyArray = Json::array();
constexpr std::int64_t kMaxMilliseconds = 1'000'000'000'000'000;

Json
OptionalToJson(const std::optional<std::chrono::milliseconds>& aValue)
{
  return aValue ? Json(aValue->count()) : Json(nullptr);
}

protocol::TaskStatus
ReadTask(FieldReader& aReader)
{
  protocol::TaskStatus task;
  task.mIndex = aReader.Integer<std::uint32_t>();
  task.mAttempt = aReader.Integer<std::uint32_t>();
  task.mState = aReader.Value(protocol::TaskState::Lost);
  task.mWorker = WorkerId(aReader.ByteString());
  task.mAnswer = aReader.ByteString();
  return task;
}

} // namespace

Json
Bytes(std::string_view aValue)
{
  return Json::binary({ aValue.begin(), aValue.end() });
}

Json
SpecToJson(const protocol::RequestSpec& aSpec)
{
  return Json::array({ Bytes(aSpec.mId.mValue),
                       Bytes(aSpec.mTeam.mValue),
                       Bytes(aSpec.mWorkload.mValue),
                       static_cast<unsigned>(aSpec.mUrgency),
                       aSpec.mNeverRepeat,
                       aSpec.mCallerWaits,
                       aSpec.mService,
                       aSpec.mStartTogether,
                       aSpec.mTaskCount,
                       aSpec.mPerTask.mMilliCores,
                       aSpec.mPerTask.mMemoryMiB,
                       aSpec.mPerTask.mAccelerators,
                       aSpec.mPerTask.mSlots,
                       aSpec.mDeclaredRunTime.count(),
                       OptionalToJson(aSpec.mDeadline),
                       Bytes(aSpec.mPayload) });
}

Json
StatusToJson(const protocol::RequestStatus& aStatus)
{
  Json tasks = Json::array();
  for (const protocol::TaskStatus& task : aStatus.mTasks) {
    tasks.push_back(Json::array({ task.mIndex,
                                  task.mAttempt,
                                  static_cast<unsigned>(task.mState),
                                  Bytes(task.mWorker.mValue),
                                  Bytes(task.mAnswer) }));
  }
  return Json::array({ Bytes(aStatus.mId.mValue),
                       static_cast<unsigned>(aStatus.mOutcome),
                       static_cast<unsigned>(aStatus.mReason),
                       Bytes(aStatus.mDetail),
                       OptionalToJson(aStatus.mRetryAfter),
                       std::move(tasks) });
}

std::string
ToCbor(const Json& aJson)
{
  std::string bytes;
  Json::to_cbor(aJson, bytes);
  return bytes;
}

Json
FromCbor(std::string_view aBytes)
{
  // The library throws on a declared length beyond the available memory, even
  // though exceptions are turned off in the call.
  try {
    return Json::from_cbor(aBytes.begin(), aBytes.end(), true, false);
  } catch (const Json::exception&) {
    return Json(Json::value_t::discarded);
  }
}

FieldReader::FieldReader(const Json& aArray)
  : mArray(aArray)
  , mOk(aArray.is_array())
{
}

bool
FieldReader::Complete() const
{
  return mOk && mPosition == mArray.size();
}

const Json*
FieldReader::Next()
{
  if (!mOk || mPosition >= mArray.size()) {
    mOk = false;
    return nullptr;
  }
  return &mArray[mPosition++];
}

std::uint64_t
FieldReader::Unsigned(std::uint64_t aMax)
{
  const Json* field = Next();
  if (field == nullptr || !field->is_number_unsigned() ||
      field->get<std::uint64_t>() > aMax) {
    mOk = false;
    return 0;
  }
  return field->get<std::uint64_t>();
}

std::int64_t
FieldReader::Signed()
{
  return static_cast<std::int64_t>(
    Unsigned(std::numeric_limits<std::int64_t>::max()));
}

bool
FieldReader::Boolean()
{
  const Json* field = Next();
  if (field == nullptr || !field->is_boolean()) {
    mOk = false;
    return false;
  }
  return field->get<bool>();
}

std::string
FieldReader::ByteString()
{
  const Json* field = Next();
  if (field == nullptr || !field->is_binary()) {
    mOk = false;
    return {};
  }
  const Json::binary_t& bytes = field->get_binary();
  return { bytes.begin(), bytes.end() };
}

const Json&
FieldReader::Array()
{
  const Json* field = Next();
  if (field == nullptr || !field->is_array()) {
    mOk = false;
    return kEmptyArray;
  }
  return *field;
}

std::chrono::milliseconds
FieldReader::Milliseconds()
{
  return std::chrono::milliseconds(
    static_cast<std::int64_t>(Unsigned(kMaxMilliseconds)));
}

std::optional<std::chrono::milliseconds>
FieldReader::OptionalMilliseconds()
{
  if (mOk && mPosition < mArray.size() && mArray[mPosition].is_null()) {
    ++mPosition;
    return std::nullopt;
  }
  return Milliseconds();
}

protocol::RequestSpec
ReadSpec(FieldReader& aReader)
{
  FieldReader fields(aReader.Array());
  protocol::RequestSpec spec;
  spec.mId = RequestId(fields.ByteString());
  spec.mTeam = TeamId(fields.ByteString());
  spec.mWorkload = WorkloadId(fields.ByteString());
  spec.mUrgency = fields.Value(protocol::Urgency::Urgent);
  spec.mNeverRepeat = fields.Boolean();
  spec.mCallerWaits = fields.Boolean();
  spec.mService = fields.Boolean();
  spec.mStartTogether = fields.Boolean();
  spec.mTaskCount = fields.Integer<std::uint32_t>();
  spec.mPerTask.mMilliCores = fields.Signed();
  spec.mPerTask.mMemoryMiB = fields.Signed();
  spec.mPerTask.mAccelerators = fields.Signed();
  spec.mPerTask.mSlots = fields.Signed();
  spec.mDeclaredRunTime = fields.Milliseconds();
  spec.mDeadline = fields.OptionalMilliseconds();
  spec.mPayload = fields.ByteString();
  if (!fields.Complete()) {
    aReader.Fail();
  }
  return spec;
}

protocol::RequestStatus
ReadStatus(FieldReader& aReader)
{
  FieldReader fields(aReader.Array());
  protocol::RequestStatus status;
  status.mId = RequestId(fields.ByteString());
  status.mOutcome = fields.Value(protocol::Outcome::NotFound);
  status.mReason = fields.Value(protocol::RefusalReason::NoCapacity);
  status.mDetail = fields.ByteString();
  status.mRetryAfter = fields.OptionalMilliseconds();
  for (const Json& element : fields.Array()) {
    FieldReader task(element);
    status.mTasks.push_back(ReadTask(task));
    if (!task.Complete()) {
      fields.Fail();
      break;
    }
  }
  if (!fields.Complete()) {
    aReader.Fail();
  }
  return status;
}

} // namespace oriolevane::coordination::internal
