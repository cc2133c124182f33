#include "codec/tests/randommessages.h"

namespace oriolevane::codec {

using namespace protocol;

namespace {

constexpr std::uint64_t kShort = 12;
constexpr std::uint64_t kFew = 4;

} // namespace

std::string
RandomMessages::Bytes()
{
  std::string bytes(Below(kShort), '\0');
  for (char& byte : bytes) {
    byte = static_cast<char>(mRandom());
  }
  return bytes;
}

std::string
RandomMessages::Id()
{
  return "id" + std::to_string(mRandom());
}

std::chrono::milliseconds
RandomMessages::Time()
{
  return std::chrono::milliseconds(Below(1000000) - 10);
}

std::optional<std::chrono::milliseconds>
RandomMessages::OptionalTime()
{
  return Flag() ? std::optional(Time()) : std::nullopt;
}

Resources
RandomMessages::Amounts()
{
  const auto amount = [this] { return static_cast<std::int64_t>(Below(99)); };
  return { .mMilliCores = amount(),
           .mMemoryMiB = amount(),
           .mAccelerators = amount(),
           .mSlots = amount() - 1 };
}

Route
RandomMessages::Route()
{
  return { .mPartition = PartitionId(static_cast<std::uint32_t>(mRandom())),
           .mShard = ShardId(static_cast<std::uint32_t>(mRandom())),
           .mSenderEpoch = Epoch(mRandom()),
           .mSequence = mRandom() };
}

TaskKey
RandomMessages::Task()
{
  return { .mRequest = RequestId(Id()),
           .mIndex = static_cast<std::uint32_t>(mRandom()),
           .mAttempt = static_cast<std::uint32_t>(mRandom()) };
}

TaskState
RandomMessages::State()
{
  return static_cast<TaskState>(Below(8));
}

std::vector<std::uint32_t>
RandomMessages::Numbers()
{
  std::vector<std::uint32_t> numbers(Below(kFew));
  for (std::uint32_t& number : numbers) {
    number = static_cast<std::uint32_t>(mRandom());
  }
  return numbers;
}

PlaceTasks
RandomMessages::Place()
{
  PlaceTasks message{ .mRoute = Route(),
                      .mRequest = RequestId(Id()),
                      .mIndexes = Numbers(),
                      .mAttempt = static_cast<std::uint32_t>(mRandom()),
                      .mShardEpoch = Epoch(mRandom()),
                      .mTogether = Flag(),
                      .mHold = Flag(),
                      .mHoldFor = Time(),
                      .mTeam = TeamId(Bytes()),
                      .mWorkload = WorkloadId(Bytes()),
                      .mUrgency = static_cast<Urgency>(Below(3)),
                      .mNeverRepeat = Flag(),
                      .mService = Flag(),
                      .mPerTask = Amounts(),
                      .mExpectedRunTime = Time(),
                      .mTimeToDeadline = OptionalTime(),
                      .mAge = Time(),
                      .mPayload = Bytes() };
  for (std::uint64_t i = Below(kFew); i > 0; --i) {
    message.mAvoid.emplace_back(Bytes());
  }
  return message;
}

TaskUpdate
RandomMessages::Update()
{
  return { .mRoute = Route(),
           .mTask = Task(),
           .mState = State(),
           .mReason = static_cast<TaskEndReason>(Below(13)),
           .mWorker = WorkerId(Bytes()),
           .mAnswer = Bytes(),
           .mRetryAfter = OptionalTime() };
}

RequestSpec
RandomMessages::Spec()
{
  return { .mId = RequestId(Id()),
           .mTeam = TeamId(Bytes()),
           .mWorkload = WorkloadId(Bytes()),
           .mUrgency = static_cast<Urgency>(Below(3)),
           .mNeverRepeat = Flag(),
           .mCallerWaits = Flag(),
           .mService = Flag(),
           .mStartTogether = Flag(),
           .mTaskCount = static_cast<std::uint32_t>(mRandom()),
           .mPerTask = Amounts(),
           .mDeclaredRunTime = Time(),
           .mDeadline = OptionalTime(),
           .mPayload = Bytes() };
}

RequestStatus
RandomMessages::Status()
{
  RequestStatus status{ .mId = RequestId(Bytes()),
                        .mOutcome = static_cast<Outcome>(Below(5)),
                        .mReason = static_cast<RefusalReason>(Below(17)),
                        .mDetail = Bytes(),
                        .mRetryAfter = OptionalTime() };
  for (std::uint64_t i = Below(kFew); i > 0; --i) {
    status.mTasks.push_back({ .mIndex = static_cast<std::uint32_t>(mRandom()),
                              .mAttempt = static_cast<std::uint32_t>(mRandom()),
                              .mState = State(),
                              .mWorker = WorkerId(Bytes()),
                              .mAnswer = Bytes() });
    status.mTrail.push_back(
      { .mSinceSubmission = Time(), .mEvent = Bytes(), .mDetail = Bytes() });
  }
  return status;
}

ShardDigest
RandomMessages::Digest()
{
  return { .mShard = ShardId(static_cast<std::uint32_t>(mRandom())),
           .mEpoch = Epoch(mRandom()),
           .mOwner = NodeId(Bytes()),
           .mSequence = mRandom(),
           .mReady = Flag(),
           .mWorkers = static_cast<std::uint32_t>(mRandom()),
           .mTotal = Amounts(),
           .mFree = Amounts(),
           .mLargestWorker = Amounts(),
           .mLargestFree = Amounts(),
           .mQueued = { 1, static_cast<std::uint32_t>(mRandom()), 3 },
           .mExpectedWait = Time() };
}

Heartbeat
RandomMessages::Beat()
{
  Heartbeat beat{ .mNode = NodeId(Id()),
                  .mIncarnation = Incarnation(mRandom()),
                  .mZone = ZoneId(Bytes()),
                  .mConfiguration = ConfigurationVersion(mRandom()),
                  .mLeaving = Flag(),
                  .mCounter = mRandom() };
  for (std::uint64_t i = Below(kFew); i > 0; --i) {
    beat.mDigests.push_back(Digest());
    beat.mPartitions.push_back(
      { .mPartition = PartitionId(static_cast<std::uint32_t>(mRandom())),
        .mEpoch = Epoch(mRandom()) });
  }
  return beat;
}

Envelope
RandomMessages::From()
{
  return { .mFrom = NodeId(Id()), .mFromIncarnation = Incarnation(mRandom()) };
}

PeerMessage
RandomMessages::Message(std::size_t aKind)
{
  switch (aKind % kKinds) {
    case 0:
      return ToPlacer(Place());
    case 1:
      return ToPlacer(
        CommitHold{ .mRoute = Route(), .mRequest = RequestId(Id()) });
    case 2:
      return ToPlacer(CancelTasks{ .mRoute = Route(),
                                   .mShardEpoch = Epoch(mRandom()),
                                   .mTasks = { Task(), Task() } });
    case 3:
      return ToPlacer(UpdateAck{ .mRoute = Route(), .mTask = Task() });
    case 4:
      return ToPlacer(ReconcileQuery{ .mRoute = Route() });
    case 5:
      return ToCoordinator(Update());
    case 6:
      return ToCoordinator(TasksHeld{ .mRoute = Route(),
                                      .mRequest = RequestId(Id()),
                                      .mIndexes = Numbers(),
                                      .mHeldFor = Time() });
    case 7:
      return ToCoordinator(ReconcileAnswer{
        .mRoute = Route(),
        .mComplete = Flag(),
        .mTasks = { { .mTask = Task(), .mState = State() },
                    { .mTask = Task(), .mWorker = WorkerId(Id()) } } });
    case 8:
      return Digest();
    case 9:
      return CallerCall{ .mCall = mRandom(),
                         .mPartition = PartitionId(7),
                         .mBody = SubmitCall{ .mSpec = Spec() } };
    case 10:
      return CallerCall{ .mBody = StatusCall{ .mId = RequestId(Id()),
                                              .mExplain = Flag(),
                                              .mWait = Flag() } };
    case 11:
      return CallerCall{ .mBody = CancelCall{ .mId = RequestId(Id()) } };
    case 12:
      return CallerReply{ .mCall = mRandom(), .mStatus = Status() };
    case 13:
      return Beat();
    case 14:
      return ConfigurationPull{ .mVersion = ConfigurationVersion(mRandom()) };
    default:
      return ConfigurationBody{ .mVersion = ConfigurationVersion(mRandom()),
                                .mBytes = Bytes() };
  }
}

} // namespace oriolevane::codec
