#include "cellnode/recordcodec.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "cellnode/internal/rowreader.h"

namespace oriolevane::cellnode {

namespace {

using nlohmann::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;

json
ToJson(const Resources& aResources)
{
  return json::array({ aResources.mMilliCores,
                       aResources.mMemoryMiB,
                       aResources.mAccelerators });
}

Resources
ResourcesFrom(const json& aValue)
{
  return { .mMilliCores = aValue.at(0).get<std::int64_t>(),
           .mMemoryMiB = aValue.at(1).get<std::int64_t>(),
           .mAccelerators = aValue.at(2).get<std::int64_t>() };
}

json
ToJson(const jobs::QueuePolicy& aQueue)
{
  json value{ { "name", aQueue.mName.mValue },
              { "host", aQueue.mHost },
              { "prefix", aQueue.mPathPrefix },
              { "pool", aQueue.mPool.mValue },
              { "priority", aQueue.mPriority },
              { "attempts", aQueue.mMaxAttempts },
              { "stretch", aQueue.mStretch },
              { "target_ms", aQueue.mLatencyTarget.count() } };
  if (aQueue.mAdvice.has_value()) {
    value["advice"] = json::array({ aQueue.mAdvice->mDecisionTime.count(),
                                    aQueue.mAdvice->mTimePerWorker.count(),
                                    aQueue.mAdvice->mValidity.count() });
  }
  if (aQueue.mPublic) {
    value["public"] = true;
  }
  return value;
}

jobs::QueuePolicy
QueueFrom(const json& aValue)
{
  jobs::QueuePolicy queue{
    .mName = jobs::QueueName(aValue.at("name").get<std::string>()),
    .mHost = aValue.at("host").get<std::string>(),
    .mPathPrefix = aValue.at("prefix").get<std::string>(),
    .mPool = jobs::PoolName(aValue.at("pool").get<std::string>()),
    .mPriority = aValue.at("priority").get<int>(),
    .mMaxAttempts = aValue.at("attempts").get<int>(),
    .mStretch = aValue.at("stretch").get<double>(),
    .mLatencyTarget = milliseconds(aValue.at("target_ms").get<std::int64_t>()),
    .mAdvice = {}
  };
  if (const auto advice = aValue.find("advice"); advice != aValue.end()) {
    queue.mAdvice = jobs::AdvicePolicy{
      .mDecisionTime = microseconds(advice->at(0).get<std::int64_t>()),
      .mTimePerWorker = microseconds(advice->at(1).get<std::int64_t>()),
      .mValidity = milliseconds(advice->at(2).get<std::int64_t>())
    };
  }
  queue.mPublic = aValue.value("public", false);
  return queue;
}

// Fields with their default value are left out, to keep rows small.
json
ToJson(const jobs::StepSpec& aStep)
{
  json value{ { "count", aStep.mTaskCount },
              { "resources", ToJson(aStep.mResources) },
              { "estimate_ms", aStep.mEstimate.count() } };
  const auto flag = [&value](const char* aName, bool aSet) {
    if (aSet) {
      value[aName] = true;
    }
  };
  const auto text = [&value](const char* aName, const std::string& aText) {
    if (!aText.empty()) {
      value[aName] = aText;
    }
  };
  const auto number = [&value](const char* aName, std::int64_t aNumber) {
    if (aNumber != 0) {
      value[aName] = aNumber;
    }
  };
  if (!aStep.mAfter.empty()) {
    value["after"] = aStep.mAfter;
  }
  flag("checkpointing", aStep.mCheckpointing);
  flag("gang", aStep.mGang);
  flag("rack_sensitive", aStep.mRackSensitive);
  text("label", aStep.mRequiredLabel);
  text("data_rack", aStep.mDataRack);
  number("most_per_worker", aStep.mMaxPerWorker);
  flag("speculative", aStep.mSpeculative);
  flag("long_running", aStep.mLongRunning);
  text("image", aStep.mImage);
  number("tail_target_ms", aStep.mTailLatencyTarget.count());
  flag("spare_processors", aStep.mUsesSpareProcessors);
  number("tolerable_misses", aStep.mTolerableMisses);
  return value;
}

jobs::StepSpec
StepFrom(const json& aValue)
{
  jobs::StepSpec step;
  step.mTaskCount = aValue.at("count").get<int>();
  step.mResources = ResourcesFrom(aValue.at("resources"));
  step.mEstimate = milliseconds(aValue.at("estimate_ms").get<std::int64_t>());
  step.mAfter = aValue.value("after", std::vector<int>());
  step.mCheckpointing = aValue.value("checkpointing", false);
  step.mGang = aValue.value("gang", false);
  step.mRackSensitive = aValue.value("rack_sensitive", false);
  step.mRequiredLabel = aValue.value("label", "");
  step.mDataRack = aValue.value("data_rack", "");
  step.mMaxPerWorker = aValue.value("most_per_worker", 0);
  step.mSpeculative = aValue.value("speculative", false);
  step.mLongRunning = aValue.value("long_running", false);
  step.mImage = aValue.value("image", "");
  step.mTailLatencyTarget =
    milliseconds(aValue.value("tail_target_ms", std::int64_t{ 0 }));
  step.mUsesSpareProcessors = aValue.value("spare_processors", false);
  step.mTolerableMisses = aValue.value("tolerable_misses", 0);
  return step;
}

// The scheduler uses these values as sizes and indexes.
bool
IsInRange(const jobs::StepSpec& aStep, int aIndex)
{
  // Above every number of tasks that is accepted from callers.
  constexpr int kMaxTasks = 100'000;
  return aStep.mTaskCount >= 1 && aStep.mTaskCount <= kMaxTasks &&
         std::all_of(
           aStep.mAfter.begin(), aStep.mAfter.end(), [aIndex](int aEarlier) {
             return aEarlier >= 0 && aEarlier < aIndex;
           });
}

} // namespace

std::string
Encode(const jobs::JobRecord& aRecord)
{
  json steps = json::array();
  for (const jobs::StepSpec& step : aRecord.mSpec.mSteps) {
    steps.push_back(ToJson(step));
  }
  json value{ { "id", aRecord.mId.mValue },
              { "queue", ToJson(aRecord.mQueue) },
              { "payload", aRecord.mSpec.mPayload },
              { "steps", std::move(steps) },
              { "accepted_ms", aRecord.mAcceptedAt.count() } };
  if (aRecord.mSpec.mRepetition.has_value()) {
    value["repeat"] = { aRecord.mSpec.mRepetition->mCount,
                        aRecord.mSpec.mRepetition->mFirstDue.count(),
                        aRecord.mSpec.mRepetition->mInterval.count() };
  }
  if (!aRecord.mTeam.Empty()) {
    value["team"] = aRecord.mTeam.mValue;
  }
  if (aRecord.mBorrows) {
    value["borrows"] = true;
  }
  if (aRecord.mFinishedBefore > 0) {
    value["finished_before"] = aRecord.mFinishedBefore;
  }
  return value.dump();
}

absl::StatusOr<jobs::JobRecord>
DecodeJob(std::string_view aText)
{
  return ReadRow<jobs::JobRecord>(
    aText, [](const json& aValue) -> absl::StatusOr<jobs::JobRecord> {
      jobs::JobRecord record;
      record.mId = jobs::JobId(aValue.at("id").get<std::string>());
      record.mQueue = QueueFrom(aValue.at("queue"));
      record.mSpec.mPayload = aValue.at("payload").get<std::string>();
      for (const json& step : aValue.at("steps")) {
        record.mSpec.mSteps.push_back(StepFrom(step));
        const int index = static_cast<int>(record.mSpec.mSteps.size()) - 1;
        if (!IsInRange(record.mSpec.mSteps.back(), index)) {
          return absl::DataLossError("a step is out of range");
        }
      }
      record.mAcceptedAt =
        milliseconds(aValue.at("accepted_ms").get<std::int64_t>());
      if (const auto repeat = aValue.find("repeat"); repeat != aValue.end()) {
        record.mSpec.mRepetition = jobs::Repetition{
          .mCount = repeat->at(0).get<int>(),
          .mFirstDue = milliseconds(repeat->at(1).get<std::int64_t>()),
          .mInterval = milliseconds(repeat->at(2).get<std::int64_t>())
        };
      }
      record.mTeam = TeamId(aValue.value("team", ""));
      record.mBorrows = aValue.value("borrows", false);
      record.mFinishedBefore = aValue.value("finished_before", 0);
      return record;
    });
}

std::string
Encode(const jobs::FinishedRecord& aRecord)
{
  json value{ { "id", aRecord.mId.mValue },
              { "state", static_cast<int>(aRecord.mState) },
              { "finished_ms", aRecord.mFinishedAt.count() } };
  if (!aRecord.mTeam.Empty()) {
    value["team"] = aRecord.mTeam.mValue;
  }
  if (!aRecord.mSubmitted) {
    value["submitted"] = false;
  }
  return value.dump();
}

absl::StatusOr<jobs::FinishedRecord>
DecodeFinished(std::string_view aText)
{
  return ReadRow<jobs::FinishedRecord>(
    aText, [](const json& aValue) -> absl::StatusOr<jobs::FinishedRecord> {
      const int state = aValue.at("state").get<int>();
      if (state < 0 || state > static_cast<int>(jobs::JobState::Cancelled)) {
        return absl::DataLossError("the state is out of range");
      }
      return jobs::FinishedRecord{
        .mId = jobs::JobId(aValue.at("id").get<std::string>()),
        .mState = static_cast<jobs::JobState>(state),
        .mFinishedAt =
          milliseconds(aValue.at("finished_ms").get<std::int64_t>()),
        .mTeam = TeamId(aValue.value("team", "")),
        .mSubmitted = aValue.value("submitted", true)
      };
    });
}

std::string
Encode(const jobs::WorkerRecord& aRecord)
{
  json value{ { "id", aRecord.mId.mValue },
              { "address", aRecord.mAddress },
              { "pool", aRecord.mPool.mValue } };
  if (aRecord.mMaxCapacity.has_value()) {
    value["max_capacity"] = ToJson(*aRecord.mMaxCapacity);
  }
  if (aRecord.mSettledIncarnation != jobs::WorkerIncarnation()) {
    value["settled_incarnation"] = aRecord.mSettledIncarnation.mValue;
  }
  return value.dump();
}

absl::StatusOr<jobs::WorkerRecord>
DecodeWorker(std::string_view aText)
{
  return ReadRow<jobs::WorkerRecord>(aText, [](const json& aValue) {
    jobs::WorkerRecord record{
      .mId = WorkerId(aValue.at("id").get<std::string>()),
      .mAddress = aValue.at("address").get<std::string>(),
      .mPool = jobs::PoolName(aValue.at("pool").get<std::string>())
    };
    if (const auto most = aValue.find("max_capacity"); most != aValue.end()) {
      record.mMaxCapacity = ResourcesFrom(*most);
    }
    record.mSettledIncarnation = jobs::WorkerIncarnation(
      aValue.value("settled_incarnation", std::int64_t{ 0 }));
    return record;
  });
}

} // namespace oriolevane::cellnode
