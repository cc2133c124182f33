#include "cellnode/nodemetrics.h"

namespace oriolevane::cellnode {

namespace {

// Bucket boundaries in seconds; the largest ones are for jobs that wait long.
const prometheus::Histogram::BucketBoundaries kBuckets{ 0.005, 0.02, 0.05, 0.1,
                                                        0.25,  0.5,  1.0,  2.5,
                                                        5.0,   10.0, 30.0 };

constexpr std::array kStageNames{ "answer",
                                  "record",
                                  "advice",
                                  "queue",
                                  "job" };
constexpr std::array kAnswerNames{
  "accepted",      "cancelled",    "state",     "count",
  "unknown_queue", "unknown_job",  "malformed", "refused",
  "undetermined",  "unauthorized", "forbidden", "rate_limited"
};

} // namespace

NodeMetrics::NodeMetrics()
{
  static_assert(kStageNames.size() == kStages);
  static_assert(kAnswerNames.size() == kCallerAnswerKinds);
  auto& stages = prometheus::BuildHistogram()
                   .Name("oriolevane_stage_seconds")
                   .Help("time that each stage took")
                   .Register(mRegistry);
  for (std::size_t stage = 0; stage < kStages; ++stage) {
    mStages[stage] = &stages.Add({ { "stage", kStageNames[stage] } }, kBuckets);
  }
  auto& answers = prometheus::BuildCounter()
                    .Name("oriolevane_answers_total")
                    .Help("answers to callers of this node, by kind")
                    .Register(mRegistry);
  for (std::size_t kind = 0; kind < kCallerAnswerKinds; ++kind) {
    mAnswers[kind] = &answers.Add({ { "kind", kAnswerNames[kind] } });
  }
  mOwnerships = &prometheus::BuildCounter()
                   .Name("oriolevane_ownerships_total")
                   .Help("times that this node began to own the shard")
                   .Register(mRegistry)
                   .Add({});
}

void
NodeMetrics::Observe(Stage aStage, Duration aTime)
{
  const std::chrono::duration<double> seconds = aTime;
  mStages[static_cast<std::size_t>(aStage)]->Observe(seconds.count());
}

void
NodeMetrics::CountAnswer(CallerAnswerKind aKind)
{
  mAnswers[static_cast<std::size_t>(aKind)]->Increment();
}

std::vector<prometheus::MetricFamily>
NodeMetrics::Collect() const
{
  return mRegistry.Collect();
}

} // namespace oriolevane::cellnode
