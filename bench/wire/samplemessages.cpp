#include "samplemessages.h"

namespace oriolevane::wirebench {

using namespace protocol;

namespace {

constexpr std::size_t kPayloadBytes = 200;
constexpr std::size_t kAnswerBytes = 1000;
constexpr std::size_t kWaveTasks = 100;

const Route kRoute{ .mPartition = PartitionId(11),
                    .mShard = ShardId(5),
                    .mSenderEpoch = Epoch(42) };

const Resources kPerTask{ .mMilliCores = 2000,
                          .mMemoryMiB = 4096,
                          .mSlots = 1 };

const Resources kShardTotal{ .mMilliCores = 768000,
                             .mMemoryMiB = 3145728,
                             .mSlots = 96 };

TaskKey
Task(std::uint32_t aIndex)
{
  return { .mRequest = RequestId("4f1c22d09ab34e6f8d17"),
           .mIndex = aIndex,
           .mAttempt = 1 };
}

PlaceTasks
MakePlace()
{
  return { .mRoute = kRoute,
           .mRequest = Task(0).mRequest,
           .mIndexes = { 0 },
           .mTeam = TeamId("dispatch"),
           .mWorkload = WorkloadId("certificates"),
           .mPerTask = kPerTask,
           .mExpectedRunTime = std::chrono::seconds(20),
           .mTimeToDeadline = std::chrono::minutes(5),
           .mPayload = std::string(kPayloadBytes, 'p') };
}

TaskUpdate
MakeUpdate()
{
  return { .mRoute = kRoute,
           .mTask = Task(0),
           .mState = TaskState::Succeeded,
           .mReason = TaskEndReason::Completed,
           .mWorker = WorkerId("worker-17"),
           .mAnswer = std::string(kAnswerBytes, 'a') };
}

CancelTasks
MakeWave()
{
  CancelTasks wave{ .mRoute = kRoute };
  for (std::uint32_t i = 0; i < kWaveTasks; ++i) {
    wave.mTasks.push_back(Task(i));
  }
  return wave;
}

RequestSpec
MakeSpec()
{
  return { .mId = Task(0).mRequest,
           .mTeam = TeamId("dispatch"),
           .mWorkload = WorkloadId("certificates"),
           .mCallerWaits = true,
           .mPerTask = kPerTask,
           .mDeclaredRunTime = std::chrono::seconds(20),
           .mDeadline = std::chrono::minutes(5),
           .mPayload = std::string(kPayloadBytes, 'p') };
}

RequestStatus
MakeStatus()
{
  return { .mId = Task(0).mRequest,
           .mOutcome = Outcome::Ran,
           .mTasks = { { .mAttempt = 1,
                         .mState = TaskState::Succeeded,
                         .mWorker = WorkerId("worker-17"),
                         .mAnswer = std::string(kAnswerBytes, 'a') } } };
}

ShardDigest
MakeDigest(std::uint32_t aShard)
{
  return { .mShard = ShardId(aShard),
           .mEpoch = Epoch(42),
           .mOwner = NodeId("node-rvk-a-3"),
           .mSequence = 100000,
           .mReady = true,
           .mWorkers = 12,
           .mTotal = kShardTotal,
           .mFree = kShardTotal,
           .mLargestWorker = kPerTask,
           .mLargestFree = kPerTask,
           .mQueued = { 1, 20, 3 },
           .mExpectedWait = std::chrono::milliseconds(120) };
}

} // namespace

codec::Heartbeat
MakeHeartbeat(std::size_t aDigests, std::size_t aPartitions)
{
  codec::Heartbeat heartbeat{ .mNode = NodeId("node-rvk-a-3"),
                              .mIncarnation = Incarnation(0x123456789abcdefULL),
                              .mZone = ZoneId("rvk-a"),
                              .mConfiguration = ConfigurationVersion(1234),
                              .mCounter = 100000 };
  for (std::uint32_t i = 0; i < aDigests; ++i) {
    heartbeat.mDigests.push_back(MakeDigest(i));
  }
  for (std::uint32_t i = 0; i < aPartitions; ++i) {
    heartbeat.mPartitions.push_back(
      { .mPartition = PartitionId(i), .mEpoch = Epoch(7) });
  }
  return heartbeat;
}

std::vector<Sample>
MakeSamples()
{
  const std::string largeAnswer(1024UL * 1024, 'a');
  TaskUpdate large = MakeUpdate();
  large.mAnswer = largeAnswer;
  return {
    { "place_tasks", ToPlacer(MakePlace()) },
    { "commit_hold",
      ToPlacer(CommitHold{ .mRoute = kRoute, .mRequest = Task(0).mRequest }) },
    { "cancel_tasks_100", ToPlacer(MakeWave()) },
    { "update_ack", ToPlacer(UpdateAck{ .mRoute = kRoute, .mTask = Task(0) }) },
    { "reconcile_query", ToPlacer(ReconcileQuery{ .mRoute = kRoute }) },
    { "task_update_1kb", ToCoordinator(MakeUpdate()) },
    { "task_update_1mb", ToCoordinator(large) },
    { "tasks_held",
      ToCoordinator(TasksHeld{ .mRoute = kRoute,
                               .mRequest = Task(0).mRequest,
                               .mIndexes = { 0, 1, 2, 3 } }) },
    { "shard_digest", MakeDigest(5) },
    { "submit_call",
      CallerCall{ .mCall = 1, .mBody = SubmitCall{ .mSpec = MakeSpec() } } },
    { "status_call",
      CallerCall{ .mCall = 1,
                  .mBody = StatusCall{ .mId = Task(0).mRequest } } },
    { "caller_reply_1kb", CallerReply{ .mCall = 1, .mStatus = MakeStatus() } },
    { "heartbeat", MakeHeartbeat(1, 2) },
    { "configuration_pull",
      codec::ConfigurationPull{ .mVersion = ConfigurationVersion(1234) } },
  };
}

} // namespace oriolevane::wirebench
