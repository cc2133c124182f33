#include "cellnode/recordcodec.h"
#include "cellnode/tests/testgroups.h"
#include "framework/fieldcount.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;
using namespace std::chrono_literals;

namespace {

// Returns a step in which every field differs from its default.
jobs::StepSpec
FullStep()
{
  return {
    .mTaskCount = 3,
    .mResources = { .mMilliCores = 500, .mMemoryMiB = 64, .mAccelerators = 1 },
    .mEstimate = 900ms,
    .mAfter = { 0, 1 },
    .mCheckpointing = true,
    .mGang = true,
    .mRackSensitive = true,
    .mRequiredLabel = "label",
    .mDataRack = "rack",
    .mMaxPerWorker = 2,
    .mSpeculative = true,
    .mLongRunning = true,
    .mImage = "image",
    .mTailLatencyTarget = 50ms,
    .mUsesSpareProcessors = true,
    .mTolerableMisses = 1
  };
}

// A new field must be handled by the codec and set in FullStep().
static_assert(FieldCount<jobs::StepSpec>() == 16);
static_assert(FieldCount<jobs::ProgressRecord>() == 5);
static_assert(FieldCount<jobs::TaskProgress>() == 7);
static_assert(FieldCount<jobs::LostRunProgress>() == 4);
static_assert(FieldCount<jobs::JobRecord>() == 7);
static_assert(FieldCount<jobs::FinishedRecord>() == 5);

void
DescribeProgress(Section& aRoot)
{
  aRoot.Describe("progress", [](Section& aSection) {
    aSection.It("is decoded with the failed, crashed and lost runs", [] {
      const jobs::ProgressRecord
        record{ .mJob = jobs::JobId("job"),
                .mOccurrence = 2,
                .mPart = 3,
                .mFinished = true,
                .mSteps = {
                  { .mStep = 1,
                    .mFailedGangRuns = { jobs::RunNumber(4) },
                    .mTasks = {
                      { .mIndex = 3,
                        .mSucceeded = true,
                        .mFailedRuns = { jobs::RunNumber(1),
                                         jobs::RunNumber(9) },
                        .mLastRun = jobs::RunNumber(10),
                        .mCheckpoint = "point",
                        .mCrashes = { { jobs::RunNumber(2), {} },
                                      { jobs::RunNumber(5),
                                        { .mWorker = WorkerId("v"),
                                          .mEvidence = crashes::CrashEvidence::
                                            LoneCrashInSoundCell } } },
                        .mLostRuns = {
                          { .mRun = jobs::RunNumber(7),
                            .mWorker = WorkerId("w"),
                            .mIncarnation = jobs::WorkerIncarnation(3),
                            .mEvidence =
                              crashes::CrashEvidence::LoneCrash } } } } } } };
      const auto back = DecodeProgress(Encode(record));
      CPPUNIT_ASSERT(back.ok());
      CPPUNIT_ASSERT_EQUAL(Encode(record), Encode(*back));
      CPPUNIT_ASSERT(back->mSteps[0].mTasks[0].mFailedRuns ==
                     record.mSteps[0].mTasks[0].mFailedRuns);
      const auto& crashed = back->mSteps[0].mTasks[0].mCrashes;
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, crashed.size());
      CPPUNIT_ASSERT(crashed.at(jobs::RunNumber(2)).mEvidence ==
                     crashes::CrashEvidence::Inconclusive);
      CPPUNIT_ASSERT(crashed.at(jobs::RunNumber(5)).mWorker == WorkerId("v"));
      CPPUNIT_ASSERT(crashed.at(jobs::RunNumber(5)).mEvidence ==
                     crashes::CrashEvidence::LoneCrashInSoundCell);
      const jobs::LostRunProgress& lost =
        back->mSteps[0].mTasks[0].mLostRuns.at(0);
      CPPUNIT_ASSERT(lost.mRun == jobs::RunNumber(7));
      CPPUNIT_ASSERT(lost.mWorker == WorkerId("w"));
      CPPUNIT_ASSERT(lost.mIncarnation == jobs::WorkerIncarnation(3));
      CPPUNIT_ASSERT(lost.mEvidence == crashes::CrashEvidence::LoneCrash);
    });
    // Guards against jobs that fail for what an earlier version concluded.
    aSection.It("takes crashes of earlier versions for no evidence", [] {
      const auto record = DecodeProgress(
        R"({"job":"job","occurrence":0,"finished":false,"steps":)"
        R"([[0,[],[[3,false,[],9,"",[4,6],[[8,"w",3,true]]]]]]})");
      CPPUNIT_ASSERT(record.ok());
      const jobs::TaskProgress& task = record->mSteps[0].mTasks[0];
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, task.mCrashes.size());
      for (const auto& [run, crash] : task.mCrashes) {
        CPPUNIT_ASSERT(crash.mEvidence == crashes::CrashEvidence::Inconclusive);
      }
      CPPUNIT_ASSERT(task.mLostRuns.at(0).mEvidence ==
                     crashes::CrashEvidence::Inconclusive);
    });
    // Guards against rows of earlier versions that can no longer be read.
    aSection.It("is decoded from a row without crashed runs", [] {
      const auto record =
        DecodeProgress(R"({"job":"job","occurrence":0,"finished":false,)"
                       R"("steps":[[0,[],[[3,false,[1],9,"point"]]]]})");
      CPPUNIT_ASSERT(record.ok());
      CPPUNIT_ASSERT_EQUAL(3, record->mSteps[0].mTasks[0].mIndex);
      CPPUNIT_ASSERT(record->mSteps[0].mTasks[0].mCrashes.empty());
    });
  });
}

void
DescribeMalformedRecords(Section& aRoot)
{
  aRoot.Describe("malformed records", [](Section& aSection) {
    // The scheduler uses these values as indexes and sizes, so that one such
    // row would end each node that takes the shard over.
    aSection.It("are rejected when a value is out of range", [] {
      const auto decodeJob = [](const jobs::StepSpec& aSecond) {
        jobs::JobRecord record{ .mId = jobs::JobId("job") };
        record.mSpec.mSteps = { { .mTaskCount = 1 }, aSecond };
        return DecodeJob(Encode(record)).status();
      };
      CPPUNIT_ASSERT(decodeJob({ .mTaskCount = 2, .mAfter = { 0 } }).ok());
      for (const int count : { -1, 0, 2'000'000'000 }) {
        CPPUNIT_ASSERT(absl::IsDataLoss(decodeJob({ .mTaskCount = count })));
      }
      for (const int earlier : { -1, 1, 7 }) {
        CPPUNIT_ASSERT(absl::IsDataLoss(
          decodeJob({ .mTaskCount = 1, .mAfter = { earlier } })));
      }
      for (const int state : { -1, 5 }) {
        const jobs::FinishedRecord record{
          .mId = jobs::JobId("job"),
          .mState = static_cast<jobs::JobState>(state)
        };
        CPPUNIT_ASSERT(
          absl::IsDataLoss(DecodeFinished(Encode(record)).status()));
      }
    });
    aSection.It("are rejected", [] {
      for (const char* text :
           { "", "{", "[]", "7", R"({"id":7})", R"({"job":"x","steps":3})" }) {
        CPPUNIT_ASSERT(absl::IsDataLoss(DecodeJob(text).status()));
        CPPUNIT_ASSERT(absl::IsDataLoss(DecodeProgress(text).status()));
        CPPUNIT_ASSERT(absl::IsDataLoss(DecodeFinished(text).status()));
        CPPUNIT_ASSERT(absl::IsDataLoss(DecodeWorker(text).status()));
        CPPUNIT_ASSERT(absl::IsDataLoss(DecodeOwner(text).status()));
      }
    });
  });
}

void
DescribeWorker(Section& aRoot)
{
  aRoot.Describe("a worker", [](Section& aSection) {
    aSection.It("is decoded with and without its largest capacity", [] {
      // Guards against records of earlier releases that are refused.
      const jobs::WorkerRecord record{
        .mId = WorkerId("w"),
        .mAddress = "10.0.0.1:80",
        .mPool = jobs::PoolName("pool"),
        .mMaxCapacity = Resources{ .mMilliCores = 1, .mMemoryMiB = 2 },
        .mSettledIncarnation = jobs::WorkerIncarnation(7)
      };
      const auto back = DecodeWorker(Encode(record));
      CPPUNIT_ASSERT(back.ok());
      CPPUNIT_ASSERT(back->mMaxCapacity == record.mMaxCapacity);
      CPPUNIT_ASSERT(back->mSettledIncarnation == record.mSettledIncarnation);
      const auto earlier =
        DecodeWorker(R"({"id":"w","address":"10.0.0.1:80","pool":"pool"})");
      CPPUNIT_ASSERT(earlier.ok());
      CPPUNIT_ASSERT(!earlier->mMaxCapacity.has_value());
      CPPUNIT_ASSERT(earlier->mSettledIncarnation == jobs::WorkerIncarnation());
    });
  });
}

} // namespace

void
RecordCodecTests(Section& aRoot)
{
  aRoot.Describe("a job", [](Section& aSection) {
    aSection.It("is decoded with all its fields", [] {
      jobs::JobRecord record;
      record.mId = jobs::JobId("5c0e7a21d94b36f8");
      record.mQueue = { .mName = jobs::QueueName("queue"),
                        .mHost = "host",
                        .mPathPrefix = "/p/",
                        .mPool = jobs::PoolName("pool"),
                        .mPriority = 2,
                        .mMaxAttempts = 4,
                        .mStretch = 1.5,
                        .mLatencyTarget = 250ms,
                        .mAdvice = jobs::AdvicePolicy{ .mDecisionTime = 6500us,
                                                       .mTimePerWorker = 93us,
                                                       .mValidity = 2500ms },
                        .mPublic = true };
      record.mSpec = {
        .mPayload = "payload \"quoted\"",
        .mSteps = { { .mTaskCount = 1 }, { .mTaskCount = 1 }, FullStep() },
        .mRepetition =
          jobs::Repetition{ .mCount = 3, .mFirstDue = 5ms, .mInterval = 7ms }
      };
      record.mAcceptedAt = 1700000000123ms;
      record.mTeam = TeamId("team");
      record.mBorrows = true;
      record.mFinishedBefore = 2;
      const auto back = DecodeJob(Encode(record));
      CPPUNIT_ASSERT(back.ok());
      CPPUNIT_ASSERT(back->mQueue == record.mQueue);
      CPPUNIT_ASSERT(back->mAcceptedAt == record.mAcceptedAt);
      CPPUNIT_ASSERT_EQUAL(Encode(record), Encode(*back));
      const jobs::StepSpec& step = back->mSpec.mSteps.at(2);
      CPPUNIT_ASSERT(step.mResources == FullStep().mResources);
      CPPUNIT_ASSERT(step.mAfter == FullStep().mAfter);
      CPPUNIT_ASSERT(step.mSpeculative && step.mLongRunning && step.mGang);
      CPPUNIT_ASSERT_EQUAL(std::string("rack"), step.mDataRack);
      CPPUNIT_ASSERT_EQUAL(3, back->mSpec.mRepetition->mCount);
      CPPUNIT_ASSERT(back->mTeam == record.mTeam);
      CPPUNIT_ASSERT(back->mBorrows);
      CPPUNIT_ASSERT_EQUAL(2, back->mFinishedBefore);
    });
    // Guards against jobs that are lost when a new build takes over from an old
    // one, which stored no team.
    aSection.It("that an older build stored belongs to no team", [] {
      const auto record = DecodeJob(
        R"({"id":"5c0e7a21d94b36f8","payload":"p","accepted_ms":7,)"
        R"("queue":{"name":"queue","host":"host","prefix":"/p/",)"
        R"("pool":"pool","priority":2,"attempts":4,"stretch":1.5,)"
        R"("target_ms":250},)"
        R"("steps":[{"count":1,"resources":[1,2,0],"estimate_ms":9}]})");
      CPPUNIT_ASSERT(record.ok());
      CPPUNIT_ASSERT(record->mTeam.Empty());
      CPPUNIT_ASSERT(!record->mBorrows);
      const auto finished = DecodeFinished(
        R"({"id":"5c0e7a21d94b36f8","state":2,"finished_ms":7})");
      CPPUNIT_ASSERT(finished.ok());
      CPPUNIT_ASSERT(finished->mTeam.Empty());
      CPPUNIT_ASSERT(finished->mSubmitted);
    });
  });
  aRoot.Describe("a final state", [](Section& aSection) {
    aSection.It("is decoded with its team", [] {
      const jobs::FinishedRecord record{ .mId = jobs::JobId("job"),
                                         .mState = jobs::JobState::Completed,
                                         .mFinishedAt = 1700000000123ms,
                                         .mTeam = TeamId("team"),
                                         .mSubmitted = false };
      const auto back = DecodeFinished(Encode(record));
      CPPUNIT_ASSERT(back.ok());
      CPPUNIT_ASSERT_EQUAL(Encode(record), Encode(*back));
      CPPUNIT_ASSERT(!back->mSubmitted);
      CPPUNIT_ASSERT(back->mTeam == record.mTeam);
    });
  });
  DescribeWorker(aRoot);
  DescribeProgress(aRoot);
  DescribeMalformedRecords(aRoot);
}

} // namespace oriolevane
