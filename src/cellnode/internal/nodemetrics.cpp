#include "cellnode/nodemetrics.h"

#include <string>

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

constexpr std::array kPeerRequestNames{ "caller", "advice", "worker_call" };

} // namespace

std::string_view
ToText(PeerRequest aRequest)
{
  return kPeerRequestNames[static_cast<std::size_t>(aRequest)];
}

NodeMetrics::NodeMetrics()
{
  static_assert(kPeerRequestNames.size() == kPeerRequests);
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
  auto& staleAnswers =
    prometheus::BuildCounter()
      .Name("oriolevane_stale_answers_total")
      .Help("answers to requests of an earlier process or ownership term")
      .Register(mRegistry);
  for (std::size_t request = 0; request < kPeerRequests; ++request) {
    mStaleAnswers[request] =
      &staleAnswers.Add({ { "request", kPeerRequestNames[request] } });
  }
  auto& closedJobs =
    prometheus::BuildCounter()
      .Name("oriolevane_jobs_closed_total")
      .Help("jobs that got their final state here, by what decided it")
      .Register(mRegistry);
  for (std::size_t reason = 0; reason < kCloseReasons; ++reason) {
    const auto name = jobs::ToText(static_cast<jobs::CloseReason>(reason));
    mClosedJobs[reason] = &closedJobs.Add({ { "reason", std::string(name) } });
  }
  mLostQueries = &prometheus::BuildCounter()
                    .Name("oriolevane_advice_queries_lost_total")
                    .Help("queries that a step waited for and nobody had")
                    .Register(mRegistry)
                    .Add({});
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

void
NodeMetrics::CountStaleAnswer(PeerRequest aRequest)
{
  mStaleAnswers[static_cast<std::size_t>(aRequest)]->Increment();
}

void
NodeMetrics::CountClosedJob(jobs::CloseReason aReason)
{
  mClosedJobs[static_cast<std::size_t>(aReason)]->Increment();
}

void
NodeMetrics::CountLostQueries(std::size_t aQueries)
{
  mLostQueries->Increment(static_cast<double>(aQueries));
}

std::vector<prometheus::MetricFamily>
NodeMetrics::Collect() const
{
  return mRegistry.Collect();
}

} // namespace oriolevane::cellnode
