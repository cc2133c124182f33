#include "jobs/tests/loadtrial.h"

namespace oriolevane::jobs {

namespace {

using namespace std::chrono_literals;

QueuePolicy
MakeKindQueue(const std::string& aName,
              int aPriority,
              double aStretch,
              Millis aTarget,
              const AdvicePolicy& aAdvice)
{
  QueuePolicy queue = MakeQueue(4);
  queue.mName = QueueName(aName);
  queue.mPriority = aPriority;
  queue.mStretch = aStretch;
  queue.mLatencyTarget = aTarget;
  queue.mAdvice = aAdvice;
  return queue;
}

} // namespace

LoadTrialOptions
RouteAndBookingLoad()
{
  LoadTrialOptions options;
  options.mKinds = {
    { .mQueue = MakeKindQueue("route",
                              1,
                              2.2,
                              1000ms,
                              { .mDecisionTime = 450ms,
                                .mTimePerWorker = 6400us,
                                .mValidity = 2500ms }),
      .mJobsPerSecond = 1.45,
      .mSteps = { .mMean = 1.2, .mSpread = 0.4, .mMost = 3 },
      .mWidth = { .mMean = 8, .mSpread = 0.8, .mMost = 48 },
      .mMilliCores = { .mMean = 18000, .mSpread = 0.4, .mMost = 30000 },
      .mMemoryMiB = { .mMean = 37000, .mSpread = 0.5, .mMost = 75000 },
      .mRunMillis = { .mMean = 5000, .mSpread = 0.5, .mMost = 12000 },
      .mGangShare = 1,
      .mCheckpointingShare = 0.5,
      .mEstimateError = 0.2,
      .mFailedShare = 0.02,
      .mAllowedShare = 0.35,
      .mWorth = 16.2,
      .mLateWorth = 3.24 },
    { .mQueue = MakeKindQueue("certificate",
                              2,
                              4.0,
                              3000ms,
                              { .mDecisionTime = 46ms,
                                .mTimePerWorker = 660us,
                                .mValidity = 2500ms }),
      .mJobsPerSecond = 6.82,
      .mSteps = { .mMean = 1.5, .mSpread = 0.4, .mMost = 3.8 },
      .mWidth = { .mMean = 10, .mSpread = 0.8, .mMost = 60 },
      .mMilliCores = { .mMean = 3900, .mSpread = 0.45, .mMost = 12000 },
      .mMemoryMiB = { .mMean = 11000, .mSpread = 0.6, .mMost = 34000 },
      .mRunMillis = { .mMean = 2200, .mSpread = 0.5, .mMost = 5400 },
      .mCheckpointingShare = 0.8,
      .mEstimateError = 0.2,
      .mFailedShare = 0.005,
      .mAllowedShare = 0.45,
      .mWorth = 2.15,
      .mLateWorth = 0.43 },
    { .mQueue = MakeKindQueue("booking",
                              0,
                              1.5,
                              250ms,
                              { .mDecisionTime = 6500us,
                                .mTimePerWorker = 93us,
                                .mValidity = 2500ms }),
      .mJobsPerSecond = 48.3,
      .mWidth = { .mMean = 2, .mSpread = 0.8, .mMost = 12 },
      .mMilliCores = { .mMean = 5600, .mSpread = 0.45, .mMost = 17000 },
      .mMemoryMiB = { .mMean = 21000, .mSpread = 0.6, .mMost = 62000 },
      .mRunMillis = { .mMean = 640, .mSpread = 0.5, .mMost = 1600 },
      .mGangShare = 0.3,
      .mEstimateError = 0.9,
      .mFailedShare = 0.02,
      .mAllowedShare = 0.7,
      .mWorth = 0.425,
      .mLateWorth = 0.085 }
  };
  return options;
}

LoadTrialOptions
GrownModelAndPreviewLoad()
{
  LoadTrialOptions options = RouteAndBookingLoad();
  options.mWorkers = 350;
  options.mAskers = 30;
  LoadKind& model = options.mKinds[0];
  model.mQueue.mAdvice = AdvicePolicy{ .mDecisionTime = 442ms,
                                       .mTimePerWorker = 6370us,
                                       .mValidity = 2000ms };
  model.mJobsPerSecond = 5.96;
  model.mWidth = { .mMean = 20, .mSpread = 0.8, .mMost = 120 };
  model.mMemoryMiB = { .mMean = 49000, .mSpread = 0.5, .mMost = 99000 };
  model.mRunMillis = { .mMean = 4000, .mSpread = 0.5, .mMost = 10000 };
  model.mWorth = 10.3;
  model.mLateWorth = 2.06;
  LoadKind& match = options.mKinds[1];
  match.mQueue.mAdvice = AdvicePolicy{ .mDecisionTime = 156ms,
                                       .mTimePerWorker = 2340us,
                                       .mValidity = 2000ms };
  match.mJobsPerSecond = 7.89;
  match.mWidth = { .mMean = 25, .mSpread = 0.8, .mMost = 150 };
  match.mMilliCores = { .mMean = 6900, .mSpread = 0.45, .mMost = 21000 };
  match.mMemoryMiB = { .mMean = 20000, .mSpread = 0.6, .mMost = 60000 };
  match.mRunMillis = { .mMean = 3400, .mSpread = 0.5, .mMost = 8400 };
  match.mFailedShare = 0.02;
  match.mWorth = 4.86;
  match.mLateWorth = 0.972;
  LoadKind& preview = options.mKinds[2];
  preview.mQueue.mAdvice = AdvicePolicy{ .mDecisionTime = 9360us,
                                         .mTimePerWorker = 130us,
                                         .mValidity = 2000ms };
  preview.mJobsPerSecond = 138;
  preview.mWidth = { .mMean = 3.2, .mSpread = 0.8, .mMost = 19 };
  preview.mMilliCores = { .mMean = 9900, .mSpread = 0.45, .mMost = 30000 };
  preview.mMemoryMiB = { .mMean = 28000, .mSpread = 0.6, .mMost = 85000 };
  preview.mWorth = 0.39;
  preview.mLateWorth = 0.078;
  return options;
}

} // namespace oriolevane::jobs
